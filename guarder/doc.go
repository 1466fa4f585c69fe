// Package guarder wraps the handlers of an instance: it counts the requests that
// run, lets callers of a leaving instance go elsewhere, and logs panics.
package guarder
