// Package lister reads the platform's list of instances over HTTP.
//
// A list may be stale and incomplete: the platform's list lags, and entries may
// be missing. Package tracker defines what is concluded from it.
package lister
