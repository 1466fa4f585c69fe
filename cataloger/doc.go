// Package cataloger indexes what an instance serves: routes, client accounts,
// services and their targets.
//
// A Catalog is immutable and is replaced as a whole, so that a request is
// handled by a single version of the configuration from beginning to end.
// Versions never decrease within a process: Book.Configure ignores an older one.
package cataloger
