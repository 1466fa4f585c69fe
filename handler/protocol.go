package handler

import (
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/abstainer"
	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/placer"
	"celeryhead.dev/celeryhead/responder"
)

// Envelope is what a caller says about its request beside method, path and body.
type Envelope struct {
	ID string
	// Object is what the request is about; empty if the caller does not say.
	Object string
	// Key is the caller's key; empty if it shows none.
	Key string
	// Left is how long the caller waits; 0 if it does not say.
	Left time.Duration
}

// LoadReport is what an answer states about the load of its target.
type LoadReport struct {
	placer.Load
	// Stated is true if the load can be used.
	Stated bool
	// Unreadable is true if the report, or its slowdown, cannot be used.
	Unreadable bool
}

// Protocol is what callers and targets speak beside HTTP.
type Protocol interface {
	forwarder.Protocol
	// Envelope reads what a caller says.
	Envelope(r *http.Request) Envelope
	// Address sets the fields of an outgoing header that this system sets, whatever the caller sent in them or said of them.
	Address(h http.Header, e Envelope, target *cataloger.Target, account string)
	// Load reads the load that a target reports with an answer.
	Load(h http.Header) LoadReport
	// Notice reads what an answer that belongs to its request says about further requests to the target.
	Notice(status int, h http.Header) abstainer.Notice
	// Rate reads the rate that a target takes from all instances together, in requests per second, or 0 if its answer states
	// that there is no limit; ok is false if the answer says nothing about it.
	Rate(status int, h http.Header) (rate float64, ok bool)
	// Signed reports whether an answer has the signature of a target.
	Signed(h http.Header) bool
	// Moved reports whether a shed answer says that another target has the address.
	Moved(status int) bool
	// PromisesNotRun reports whether callers take a status as the promise that their request has not run and never will.
	PromisesNotRun(status int) bool
	// Refuse answers a caller in place of a target.
	Refuse(w http.ResponseWriter, f *responder.Refusal)
}
