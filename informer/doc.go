// Package informer defines the status of an instance: its configuration,
// targets, accounts, other instances and contact with the store, as the instance
// sees them.
//
// An instance serves its Status as JSON on its metrics address; operators read
// it with celeryhead instance. A Status contains no keys.
package informer
