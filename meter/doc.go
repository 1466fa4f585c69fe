// Package meter collects the metrics of an instance and serves them to operators.
//
// All metric names begin with celeryhead_. docs/metrics.md lists them with their
// units; a test compares that page with Catalogue. Label values are names from the
// configuration, never keys, tickets or addresses of callers.
package meter
