package server

import (
	"crypto/sha256"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
)

func (s *Server) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return r
}

// requestDigest covers what the effect of a request depends on.
func requestDigest(c *call) [sha256.Size]byte {
	h := sha256.New()
	_, _ = h.Write([]byte(c.request.Method + "\n" + c.request.URL.RequestURI() + "\n"))
	_, _ = h.Write(c.digest[:])
	return [sha256.Size]byte(h.Sum(nil))
}
