// Package guarder provides HTTP middleware that counts the requests in flight,
// closes the connections of callers while the instance shuts down, logs panics,
// and reports answers that net/http gives without calling a handler.
package guarder
