package server

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"

	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
)

// discardLog drops what net/http writes about broken connections of strangers.
var discardLog = log.New(io.Discard, "", 0)

func (s *Server) callersHandler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/lookup", s.lookup).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", s.issueTicket).Methods(http.MethodPost)
	r.HandleFunc("/v1/health", s.health).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(s.enter)
	return s.counted(r)
}

// guarded logs a panic of a handler, which is a fault of the program, and breaks the connection.
func (s *Server) guarded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			//nolint:errorlint // net/http compares this value itself.
			if v != http.ErrAbortHandler {
				s.log.RequestPanicked(r.Method, fmt.Sprintf("%v\n%s", v, debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		h.ServeHTTP(w, r)
	})
}

// counted counts requests that run, and asks callers of a leaving instance to open no further request on their connection.
func (s *Server) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if s.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		spooler.LimitWrites(w, time.Now())
		h.ServeHTTP(w, r)
	})
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
