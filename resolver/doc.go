// Package resolver selects the instance addresses returned to a caller's
// look-up.
//
// A caller gets the ready instances of its own region, so that its requests do
// not cross regions before they reach an instance. If that region has none, it
// gets those in the regions to which the host's routes are limited, and if there
// are none either, all.
package resolver
