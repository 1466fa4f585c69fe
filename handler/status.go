package handler

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/informer"
)

// Status returns what this instance believes.
func (s *Server) Status() informer.Status {
	now, k := s.clock(), s.book.Catalog()
	t := informer.Status{
		Instance:      s.settings.Name,
		Region:        s.settings.Region,
		FailureDomain: s.settings.FailureDomain,
		Started:       time.Unix(0, s.started),
		Ready:         s.ready.Load(),
		Leaving:       s.leaving.Load(),
		InFlight:      s.inFlight.Load(),
		ConfigVersion: k.Version,
		Store: informer.Store{
			Failing:              s.rows.Failing(),
			AnsweredSeconds:      -1,
			ConfigurationSeconds: -1,
			Calls:                s.follows(),
			Versions:             map[string]uint64{},
		},
	}
	for n, v := range s.rows.Versions() {
		t.Store.Versions[n] = v.Content
	}
	if c := s.rows.CompleteAsOf(s.configuration); !c.IsZero() {
		t.Store.ConfigurationSeconds = now.Sub(c).Seconds()
	}
	if c := s.contact(); !c.IsZero() {
		t.Store.AnsweredSeconds = now.Sub(c).Seconds()
	}
	for _, m := range s.members.Alive(now) {
		d, _ := s.members.Silent(m.Address, now)
		t.Instances = append(t.Instances, informer.Peer{
			Name: m.Name, Address: m.Address, Region: m.Region, FailureDomain: m.FailureDomain, Ready: m.Ready, HeardSeconds: d.Seconds(),
		})
	}
	k.Targets(func(g *cataloger.Target) {
		v := informer.Target{
			Name: g.Name, Service: g.Service, Address: g.Address, FailureDomain: g.FailureDomain, Slots: g.Slots,
			ColdSeconds: max(0, g.ColdUntil.Sub(now).Seconds()),
		}
		s.placer.Describe(now, g, &v)
		leaving, rest := s.abstainer.State(now, incarnation(g))
		v.Leaving, v.RestSeconds = leaving, rest.Seconds()
		v.Rate = s.throttle.Rate(g.Name, g.Started)
		t.Targets = append(t.Targets, v)
	})
	slices.SortFunc(t.Targets, func(a, b informer.Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	t.Accounts = s.shares.Describe(now)
	t.Retries = s.budget.Describe(now)
	return t
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that left cannot be told.
	_ = json.NewEncoder(w).Encode(s.Status())
}
