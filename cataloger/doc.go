// Package cataloger indexes what an instance serves: routes, client accounts,
// services and their targets.
//
// A Catalog is immutable. An instance replaces it as a whole, so that a request
// is judged by one version of the configuration from beginning to end. Versions
// never go back within a process: Book.Configure ignores an older one.
package cataloger
