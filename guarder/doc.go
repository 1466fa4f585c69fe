// Package guarder provides HTTP middleware that counts the requests in flight,
// closes the connections of callers while the instance shuts down, and logs panics.
package guarder
