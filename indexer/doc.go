// Package indexer keeps entities in tables with a stable order.
//
// A table is not safe for concurrent use: the system that runs over it each
// tick owns it. Iteration follows insertion order, so that replays of one trace
// visit entities in the same order.
package indexer
