package replicator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// PathRows is where an instance serves its copies to peers.
const PathRows = "/rows"

// maxCopyBytes bounds the answer of a peer.
const maxCopyBytes = 64 << 20

// ErrPeer means that a peer gave no usable answer.
var ErrPeer = merry.Sentinel("peer gave no rows")

// rowText and changeText are the answers between instances.
type rowText struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

type changeText struct {
	Rows    []rowText `json:"rows"`
	Version uint64    `json:"version"`
	Whole   bool      `json:"whole"`
}

// ServeHTTP answers a peer with the rows of a table after a version.
func (r *Replicator) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	h, ok := r.Since(q.FormValue("table"), after)
	if !ok {
		http.Error(w, "the table is not known here", http.StatusServiceUnavailable)
		return
	}
	c := changeText{Version: h.Version, Whole: h.Whole}
	for _, x := range h.Rows {
		c.Rows = append(c.Rows, rowText(x))
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(c); err != nil {
		r.config.Log.PeerCopyFailed(q.FormValue("table"), err)
	}
}

// Fetch asks the instance at an address for the rows of a table after a version.
func Fetch(ctx context.Context, c *http.Client, a netip.AddrPort, table string, after uint64) (Change, error) {
	u := url.URL{Scheme: "http", Host: a.String(), Path: PathRows}
	u.RawQuery = url.Values{"table": {table}, "after": {strconv.FormatUint(after, 10)}}.Encode()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return Change{}, err
	}
	p, err := c.Do(q)
	if err != nil {
		return Change{}, err
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return Change{}, merry.Wrap(ErrPeer, merry.AppendMessagef("status %d", p.StatusCode))
	}
	var t changeText
	if err := json.NewDecoder(io.LimitReader(p.Body, maxCopyBytes)).Decode(&t); err != nil {
		return Change{}, err
	}
	h := Change{Version: t.Version, Whole: t.Whole}
	for _, x := range t.Rows {
		h.Rows = append(h.Rows, Row(x))
	}
	return h, nil
}
