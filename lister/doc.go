// Package lister reads the platform's list of instances over HTTP.
package lister
