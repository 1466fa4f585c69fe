package server

import (
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/meter"
)

func (s *Server) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { s.meter.Write(w, s.meterState()) })
	return r
}

func (s *Server) meterState() meter.State {
	now := s.clock()
	v := s.control.View()
	k := s.claims.Counters()
	m := meter.State{
		Pools:         map[string]meter.Pool{},
		InFlight:      s.inFlight.Load(),
		ProofAges:     map[string]time.Duration{},
		ConfigVersion: v.Heads.ConfigVersion,
		StoreFailures: s.store.Health().Failures,
		ClaimCommits:  k.Transactions,
		ClaimsLost:    k.Dropped,
		ClaimsRefused: k.Unavailable,
		ClaimOwners: meter.ClaimOwners{
			Sent: k.Sent, Fallbacks: k.Fallbacks, Refusals: k.OwnerRefusals, Accepted: k.Accepted, Refused: k.Refused,
		},
		ShiftSteps: map[string]int{},
	}
	for _, o := range s.pools.all() {
		l := o.Load()
		m.Pools[o.name] = meter.Pool{Slots: l.Slots, Free: l.Free, Queued: l.Queued}
	}
	for n, c := range map[string]attester.Scope{"fleet": attester.Fleet, "region": attester.Region, "fleet_owner": attester.FleetOwner} {
		m.ProofAges[n] = s.control.ProofAge(c, now)
	}
	m.CertificateExpiries = s.expiries(time.Now())
	for _, h := range v.Config.Shifts {
		m.ShiftSteps[h.Name] = int(v.Heads.Shifts[h.Name].Step)
	}
	return m
}

// requestDigest covers what the effect of a request depends on.
func requestDigest(c *call) [sha256.Size]byte {
	h := sha256.New()
	_, _ = h.Write([]byte(c.request.Method + "\n" + c.request.URL.RequestURI() + "\n"))
	_, _ = h.Write(c.digest[:])
	return [sha256.Size]byte(h.Sum(nil))
}
