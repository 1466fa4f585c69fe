// Package resolver chooses the instances that a caller is told to use.
//
// A caller is told of the ready instances of its own region, so that its
// requests do not travel between regions before they reach an instance. Only if
// the region has none is it told of others: first of those in the regions to
// which the host's routes are limited, then of all.
package resolver
