// Package router finds the route of a request.
//
// A route matches by the longest path prefix that ends at a path segment, then
// by method. A Table is immutable and safe for concurrent use.
package router
