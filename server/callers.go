package server

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/netip"

	"github.com/gorilla/mux"

	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/responder"
)

// discardLog drops what net/http writes about broken connections of strangers.
var discardLog = log.New(io.Discard, "", 0)

func (s *Server) callersHandler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/lookup", s.lookup).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", s.issueTicket).Methods(http.MethodPost)
	r.HandleFunc("/v1/health", s.health).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.enter)
	return guarder.Count(guarder.Config{InFlight: &s.inFlight, Leaving: &s.leaving}, r)
}

// lookupAnswer tells a caller which instances to use, best first.
type lookupAnswer struct {
	ConfigVersion     uint64           `json:"config_version"`
	Region            string           `json:"region"`
	TimeToLiveSeconds float64          `json:"time_to_live_seconds"`
	Instances         []lookupInstance `json:"instances"`
}

type lookupInstance struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Address netip.AddrPort `json:"address"`
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	a, ok := callerAddress(r)
	if !ok {
		s.refuse(w, badRequest("address must be an IP address"))
		return
	}
	s.meter.Lookup()
	v := s.control.View()
	k := v.Steering.Answer(a, s.control.Live())
	if len(k.Instances) == 0 || v.Heads.ConfigVersion == 0 {
		// An instance that was just started knows neither the others nor the configuration yet.
		s.refuse(w, stale())
		return
	}
	o := lookupAnswer{ConfigVersion: v.Heads.ConfigVersion, Region: k.Region, TimeToLiveSeconds: k.TimeToLive.Seconds()}
	for _, i := range k.Instances {
		o.Instances = append(o.Instances, lookupInstance{Name: i.Name, Region: i.Region, Address: i.Address})
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has left.
	_ = json.NewEncoder(w).Encode(o)
}

// callerAddress returns the address in the query, for resolvers that ask on behalf of callers, or that of the connection.
func callerAddress(r *http.Request) (netip.Addr, bool) {
	if q := r.URL.Query().Get("address"); q != "" {
		a, err := netip.ParseAddr(q)
		return a, err == nil
	}
	p, err := netip.ParseAddrPort(r.RemoteAddr)
	return p.Addr().Unmap(), err == nil
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "leaving\n")
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) refuse(w http.ResponseWriter, r *responder.Refusal) {
	// An error means that the caller has left.
	_ = r.Write(w)
}
