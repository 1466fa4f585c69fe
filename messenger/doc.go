// Package messenger holds the services between instances and towards operators.
//
// The code is generated from messenger.proto by `make generate`. Both services
// are served only over mutual TLS.
package messenger
