// Package informer describes what an instance on the platform believes: its
// configuration, targets, accounts, other instances and contact to the store.
//
// Instances serve a Status as JSON on their metrics address; operators read it
// with celeryhead instance. It holds no keys.
package informer
