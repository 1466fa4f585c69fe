package informer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/verifier"
)

// Path is the URL path of the Status on an instance's metrics address.
const Path = "/status"

// maxStatusBytes is the size of the largest status that Fetch reads.
const maxStatusBytes = 16 << 20

// fetchTimeout bounds Fetch.
const fetchTimeout = 5 * time.Second

// ErrStatus means that an instance returned no status.
var ErrStatus = merry.Sentinel("no status")

// Status is an instance's view of itself and the fleet at one moment.
type Status struct {
	Instance      string    `json:"instance"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	Started       time.Time `json:"started"`
	Ready         bool      `json:"ready"`
	Leaving       bool      `json:"leaving"`
	InFlight      int64     `json:"in_flight"`
	ConfigVersion uint64    `json:"config_version"`
	Store         Store     `json:"store"`
	Instances     []Peer    `json:"instances"`
	Targets       []Target  `json:"targets"`
	Accounts      []Account `json:"accounts"`
	Retries       []Retries `json:"retries"`
}

// Store describes the contact with the platform's store.
type Store struct {
	// Failing is true if this instance's last call failed.
	Failing bool `json:"failing"`
	// AnsweredSeconds is the time since the store last answered any instance, as far as this one knows; -1 means
	// never.
	AnsweredSeconds float64 `json:"answered_seconds"`
	// ConfigurationSeconds is the age of the time up to which this instance's configuration is known to be complete; -1
	// means that it is not known.
	ConfigurationSeconds float64 `json:"configuration_seconds"`
	// Calls is true if this instance is one of those that call the store.
	Calls bool `json:"calls"`
	// Versions maps each table to the version of its newest row.
	Versions map[string]uint64 `json:"versions"`
}

// Peer is another instance.
type Peer struct {
	Name          string     `json:"name"`
	Address       netip.Addr `json:"address"`
	Region        string     `json:"region"`
	FailureDomain string     `json:"failure_domain"`
	Ready         bool       `json:"ready"`
	HeardSeconds  float64    `json:"heard_seconds"`
}

// Target is a usable target.
type Target struct {
	Name          string         `json:"name"`
	Service       string         `json:"service"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure_domain"`
	Slots         int            `json:"slots"`
	// InFlight is this instance's number of requests in flight, Load the estimate for all instances.
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`
	// PausedSeconds is the remaining time for which the target gets no requests after faults.
	PausedSeconds float64 `json:"paused_seconds"`
	// Leaving is true if the target said in an answer to this instance that it leaves; RestSeconds is the remaining time for
	// which it wants no requests, as it said in an answer. Both hold whatever its row says.
	Leaving     bool    `json:"leaving"`
	RestSeconds float64 `json:"rest_seconds"`
	// Rate is the number of requests a second that the target takes from all instances together; 0 means that it states none.
	Rate float64 `json:"rate"`
	// ColdSeconds is the remaining time for which the target is cold.
	ColdSeconds float64 `json:"cold_seconds"`
	// Faults is the weighted fraction of faults among recent outcomes, Slowness the processing time relative to the
	// expected one, as measured and as the target states it.
	Faults   float64 `json:"faults"`
	Slowness float64 `json:"slowness"`
	// Objects is the number of objects that the target is assumed to cache.
	Objects int `json:"objects"`
}

// Account is a client account with a limit.
type Account struct {
	Name string `json:"name"`
	// Rate and Burst are the fleet-wide limits.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Parts is the number of instances that the limit is divided among, Tokens the number of tokens at this instance.
	Parts  int     `json:"parts"`
	Tokens float64 `json:"tokens"`
}

// Retries is the usage of this instance's part of a service's retry budget.
type Retries struct {
	Service string  `json:"service"`
	Used    int     `json:"used"`
	Allowed float64 `json:"allowed"`
}

// client bounds the head of a status as other calls between programs do.
var client = &http.Client{Transport: verifier.Transport(&http.Transport{MaxResponseHeaderBytes: messenger.MaxResponseHeader})}

// Fetch reads the status from an instance's metrics address.
func Fetch(ctx context.Context, a netip.AddrPort) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+Path, http.NoBody)
	if err != nil {
		return Status{}, err
	}
	p, err := client.Do(r)
	if err != nil {
		return Status{}, merry.Wrap(ErrStatus, merry.WithCause(err))
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return Status{}, merry.Wrap(ErrStatus, merry.AppendMessagef("%s answered %d", a, p.StatusCode))
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(p.Body, maxStatusBytes)).Decode(&s); err != nil {
		return Status{}, merry.Wrap(ErrStatus, merry.WithCause(err))
	}
	return s, nil
}

// Print writes a status as tables.
func Print(out io.Writer, s Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		for i, c := range cells {
			if f, ok := c.(float64); ok {
				c = fmt.Sprintf("%.2f", f)
			}
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, c)
		}
		_, _ = fmt.Fprintln(w)
	}
	row(fmt.Sprintf("%s in %s (%s), started %s: ready %t, leaving %t, %d requests in flight, configuration %d", s.Instance,
		s.FailureDomain, s.Region, s.Started.UTC().Format(time.RFC3339), s.Ready, s.Leaving, s.InFlight, s.ConfigVersion))
	row(fmt.Sprintf("store: answered an instance %.1f s ago, configuration complete %.1f s ago, failing here %t, called from here %t, rows %v",
		s.Store.AnsweredSeconds, s.Store.ConfigurationSeconds, s.Store.Failing, s.Store.Calls, s.Store.Versions))
	row("\nINSTANCE", "ADDRESS", "REGION", "FAILURE DOMAIN", "READY", "HEARD S AGO")
	for _, p := range s.Instances {
		row(p.Name, p.Address, p.Region, p.FailureDomain, p.Ready, p.HeardSeconds)
	}
	row("\nTARGET", "SERVICE", "FAILURE DOMAIN", "IN FLIGHT", "LOAD", "SLOTS", "LEAVING", "REST S", "RATE", "PAUSED S", "COLD S", "FAULTS", "SLOWNESS", "OBJECTS")
	for _, t := range s.Targets {
		row(t.Name, t.Service, t.FailureDomain, t.InFlight, t.Load, t.Slots, t.Leaving, t.RestSeconds, t.Rate, t.PausedSeconds, t.ColdSeconds, t.Faults, t.Slowness, t.Objects)
	}
	row("\nACCOUNT", "RATE", "BURST", "PARTS", "TOKENS HERE")
	for _, a := range s.Accounts {
		row(a.Name, a.Rate, a.Burst, a.Parts, a.Tokens)
	}
	row("\nRETRIES TO", "USED HERE", "ALLOWED HERE")
	for _, t := range s.Retries {
		row(t.Service, t.Used, t.Allowed)
	}
	return w.Flush()
}
