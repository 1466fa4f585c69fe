// Package responder encodes refusals as HTTP answers for callers and other instances.
//
// A refusal states its reason and whether the request ran, in headers and in a
// JSON body. A refusal may say NotRun only when no byte of the request can have
// reached a target, or the target itself said that it did not run it.
package responder
