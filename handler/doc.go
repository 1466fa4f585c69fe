// Package handler serves requests on instances that share nothing but the
// platform's store and each other's datagrams.
//
// Each instance decides alone: it finds route and account in its own catalog,
// takes a token of its own share, places the request by what it knows of the
// targets, and forwards it. No request takes a hop to another instance. What
// must hold for the fleet as a whole is divided by package sharer.
//
// A request is judged by one catalog, and again just before its first byte goes
// to a target: a key that was taken away, a target that left and a failure
// domain that is evacuated in between count.
//
// Whether a refused request ran is said truthfully: a refusal says "not run" only
// if no target can have run it.
package handler
