// Package authenticator extracts and verifies the API keys of callers, and strips
// them from requests before they are forwarded.
//
// A key has the form ch_<account>_<key name>_<43 base64url characters>. Only
// SHA-256 digests are stored: a key holds 256 random bits, so a slow hash would
// add nothing. Strip must run before a request leaves the entry instance.
package authenticator
