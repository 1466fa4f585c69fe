package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/tracker"
	"celeryhead.dev/celeryhead/verifier"
)

// maxResponseBytes bounds the size of a response; 1,000 instances take about 200 KiB.
const maxResponseBytes = 4 << 20

// Config configures a Lister.
type Config struct {
	// Addresses are tried in order; there must be at least one.
	Addresses []netip.AddrPort
	// Timeout bounds each attempt.
	Timeout time.Duration
	// Rejected is called for each entry that cannot be used, once for as long as the list holds it; nil tells nobody.
	Rejected func(entry string, err error)
}

// Lister reads the list; it is safe for concurrent use.
type Lister struct {
	config Config
	client *http.Client

	mu sync.Mutex
	// rejected are the unusable entries of the last list.
	rejected map[string]bool
}

type response struct {
	// Instances are decoded one by one, so that one that cannot be read hides no other.
	Instances []json.RawMessage `json:"instances"`
}

type row struct {
	Name          string         `json:"name"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	CallerAddress netip.AddrPort `json:"caller_address"`
	PeerAddress   netip.AddrPort `json:"peer_address"`
	State         string         `json:"state"`
}

// New returns a lister. It opens a new connection for each read, so that a stalled connection does not make the list
// appear to be down.
func New(c Config) *Lister {
	return &Lister{config: c, client: &http.Client{Transport: verifier.Transport(&http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: messenger.MaxResponseHeader,
	})}}
}

// List returns the entries of the list. If all addresses fail, it returns the error of the last one.
func (l *Lister) List(ctx context.Context) ([]tracker.Entry, error) {
	var err error
	for _, a := range l.config.Addresses {
		var r []tracker.Entry
		if r, err = l.read(ctx, a); err == nil {
			return r, nil
		}
		err = merry.Prependf(err, "instance list at %s", a)
	}
	return nil, err
}

func (l *Lister) read(ctx context.Context, a netip.AddrPort) ([]tracker.Entry, error) {
	x, cancel := context.WithTimeout(ctx, l.config.Timeout)
	defer cancel()
	q, err := http.NewRequestWithContext(x, http.MethodGet, "http://"+a.String()+"/v1/instances", http.NoBody)
	if err != nil {
		return nil, err
	}
	p, err := l.client.Do(q)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %d", p.StatusCode)
	}
	var w response
	if err := json.NewDecoder(io.LimitReader(p.Body, maxResponseBytes)).Decode(&w); err != nil {
		return nil, err
	}
	return l.entries(w), nil
}

// entries returns the entries that can be used.
func (l *Lister) entries(w response) []tracker.Entry {
	r := make([]tracker.Entry, 0, len(w.Instances))
	rejected := map[string]bool{}
	for _, b := range w.Instances {
		i, err := decode(b)
		if err != nil {
			l.reject(rejected, string(b), err)
			continue
		}
		r = append(r, tracker.Entry{
			Instance: tracker.Instance{
				Name:          i.Name,
				Region:        i.Region,
				FailureDomain: i.FailureDomain,
				Caller:        i.CallerAddress,
				Peer:          i.PeerAddress,
			},
			Leaving: i.State == "leaving",
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected = rejected
	return r
}

// reject adds an entry to the rejected ones and reports it unless the last list held it too.
func (l *Lister) reject(rejected map[string]bool, entry string, err error) {
	rejected[entry] = true
	l.mu.Lock()
	known := l.rejected[entry]
	l.mu.Unlock()
	if !known && l.config.Rejected != nil {
		l.config.Rejected(entry[:min(len(entry), maxReport)], err)
	}
}

// maxReport bounds the reported part of an entry, in bytes.
const maxReport = 200

var errEntry = merry.Sentinel("entry has no name, or an address that cannot be dialled")

func decode(b json.RawMessage) (row, error) {
	var i row
	if err := json.Unmarshal(b, &i); err != nil {
		return i, err
	}
	if i.Name == "" || !isDialable(i.CallerAddress) || !isDialable(i.PeerAddress) {
		return i, errEntry
	}
	return i, nil
}

func isDialable(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
