package emulator

import (
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// Objects is a stand-in for the object store: PUT and GET of /objects/<name>.
type Objects struct {
	router *mux.Router

	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	o := &Objects{router: mux.NewRouter(), objects: make(map[string][]byte)}
	o.router.HandleFunc("/objects/{name:.+}", o.put).Methods(http.MethodPut)
	o.router.HandleFunc("/objects/{name:.+}", o.get).Methods(http.MethodGet)
	return o
}

// ServeHTTP serves the objects.
func (o *Objects) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.router.ServeHTTP(w, r)
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[mux.Vars(r)["name"]] = b
	w.WriteHeader(http.StatusNoContent)
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	b, ok := o.objects[mux.Vars(r)["name"]]
	o.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// An error here means that the caller has gone.
	_, _ = w.Write(b)
}
