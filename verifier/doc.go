// Package verifier rejects responses that net/http accepts although their header
// is malformed.
package verifier
