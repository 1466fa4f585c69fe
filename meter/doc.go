// Package meter counts what an instance does and serves the figures to operators.
//
// All names begin with celeryhead_ and are listed, with their units, in
// docs/metrics.md; a test compares that page with Catalogue. Labels hold names of
// the configuration only, never keys, tickets or addresses of callers.
package meter
