// Package lister reads the platform's list of instances over HTTP.
//
// A list is an observation of the past: the platform's list lags, and entries may
// be missing. Package tracker says what follows from it.
package lister
