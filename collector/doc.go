// Package collector gathers the chunks of a text from sources.
//
// A Collector asks for the chunks that the caller does not hold, several in one
// call, and checks each against its name. A source that fails, lacks a chunk or
// gives a wrong one is left for the next one. Chunks that were gathered before a
// collection broke off are kept up to a bound, so that the next one continues.
package collector
