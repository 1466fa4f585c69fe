package server

import (
	"context"
	"net/http"
	"time"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/timer"
)

const (
	// renewInterval is how often the certificate files are read; it bounds how long a replaced authority is still trusted.
	renewInterval = 5 * time.Second
	// expiryNotice is how long before its end a certificate is warned of, and expiryInterval how often.
	expiryNotice   = 7 * 24 * time.Hour
	expiryInterval = 24 * time.Hour
)

// RenewerConfig returns what the certificates of an instance with these settings must fit.
func RenewerConfig(s loader.Settings) certifier.RenewerConfig {
	return certifier.RenewerConfig{Files: certifier.Files(s.TLS), Name: s.Name, Address: s.Listeners.Peers.Addr()}
}

// runCertificates takes over new certificate files and warns of certificates that end soon.
func (s *Server) runCertificates(ctx context.Context) {
	var warned time.Time
	var refused string
	timer.Every(ctx, renewInterval, func(context.Context) {
		refused = s.renewCertificates(refused)
		now := time.Now()
		e := s.certificates.Expiries().First()
		if e.Sub(now) < expiryNotice && now.Sub(warned) >= expiryInterval {
			s.log.CertificateExpires(e.Sub(now))
			warned = now
		}
	})
}

// renewCertificates returns why the files are not usable, or nothing; the same reason is logged once.
func (s *Server) renewCertificates(refused string) string {
	changed, err := s.certificates.Renew()
	if err != nil {
		if err.Error() != refused {
			s.log.CertificatesRejected(err)
		}
		return err.Error()
	}
	if changed {
		// Connections that were opened with the former certificates would be refused once their authority is gone.
		s.links.closeIdle()
		s.peers.RetireAll()
		s.log.CertificatesRenewed(time.Until(s.certificates.Expiries().First()))
	}
	return ""
}

// expiries returns the time left for each certificate in use.
func (s *Server) expiries(now time.Time) map[string]time.Duration {
	e := s.certificates.Expiries()
	r := map[string]time.Duration{}
	for n, t := range map[string]time.Time{"authority": e.Authority, "peer": e.Peer, "callers": e.Callers} {
		if !t.IsZero() {
			r[n] = t.Sub(now)
		}
	}
	return r
}

// trusted refuses requests on connections whose certificate would not be accepted any more, and ends these connections.
func (s *Server) trusted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if s.certificates.Trusts(r.TLS, time.Now()) {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		s.refuse(w, noOwner())
	})
}
