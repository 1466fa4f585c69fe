package replicator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/pacer"
	"celeryhead.dev/celeryhead/verifier"
)

// PathRows is where an instance serves its copies to peers.
const PathRows = "/rows"

// Bounds of a peer's answer. Copies of three tables may arrive at once, in the smallest deployments within 284 MB. Only the
// configuration has a row near the store's limit of 64 KB; 10,000 targets take 6 MB.
const (
	maxCopyBytes   = 8 << 20
	maxCopyRows    = 20_000
	maxHeaderBytes = 16 << 10
)

// NewClient returns a client for Fetch that keeps one connection to each peer, unused for at most idle.
func NewClient(idle time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		IdleConnTimeout:        idle,
		MaxIdleConnsPerHost:    1,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// ErrPeer means that a peer gave no usable answer.
var ErrPeer = merry.Sentinel("peer gave no rows")

// rowText and changeText are the answers between instances.
type rowText struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Era     uint64 `json:"era,omitempty"`
	Version uint64 `json:"version"`
	Removed bool   `json:"removed,omitempty"`
	Last    []byte `json:"last,omitempty"`
	Kept    bool   `json:"kept,omitempty"`
}

// retainedText is a row of an earlier era.
type retainedText struct {
	rowText
	AgeMilliseconds int64 `json:"age_ms"`
}

type changeText struct {
	Rows    []rowText `json:"rows"`
	Version uint64    `json:"version"`
	Whole   bool      `json:"whole"`
	Digest  uint64    `json:"digest,omitempty"`
	// The fields below are left out in era 0.
	Era             uint64         `json:"era,omitempty"`
	Retained        []retainedText `json:"retained,omitempty"`
	Settled         bool           `json:"settled,omitempty"`
	Ceiling         uint64         `json:"ceiling,omitempty"`
	AgeMilliseconds int64          `json:"age_ms,omitempty"`
	Complete        []positionText `json:"complete,omitempty"`
}

type positionText struct {
	Era     uint64 `json:"era"`
	Version uint64 `json:"version"`
}

// ServeHTTP answers a peer with the rows of a table after a position, whose era is 0 if it is not stated.
func (r *Replicator) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a version", http.StatusBadRequest)
		return
	}
	era := uint64(0)
	if e := q.FormValue("era"); e != "" {
		if era, err = strconv.ParseUint(e, 10, 64); err != nil {
			http.Error(w, "era is not a number", http.StatusBadRequest)
			return
		}
	}
	h, ok := r.Since(q.FormValue("table"), Position{Era: era, Version: after})
	if !ok {
		http.Error(w, "the table is not known here", http.StatusServiceUnavailable)
		return
	}
	c := changeText{Version: h.Version, Whole: h.Whole, Digest: h.Digest, Era: h.Era, Settled: h.Settled, Ceiling: h.Ceiling, AgeMilliseconds: h.Age.Milliseconds()}
	for _, x := range h.Rows {
		// The era of the answer is that of its rows.
		x.Era = 0
		if h.Era == 0 {
			x.Last = nil
		}
		c.Rows = append(c.Rows, rowText(x))
	}
	for _, x := range h.Retained {
		c.Retained = append(c.Retained, retainedText{rowText: rowText(x.Row), AgeMilliseconds: x.Age.Milliseconds()})
	}
	for e, v := range h.Complete {
		c.Complete = append(c.Complete, positionText{Era: e, Version: v})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(c); err != nil {
		r.config.Log.PeerUnserved(q.FormValue("table"), h.Version, err)
	}
}

// Fetch asks the instance at an address for the rows of a table after a position.
func Fetch(ctx context.Context, c *http.Client, a netip.AddrPort, table string, after Position) (Change, error) {
	u := url.URL{Scheme: "http", Host: a.String(), Path: PathRows}
	v := url.Values{"table": {table}, "after": {strconv.FormatUint(after.Version, 10)}}
	if after.Era > 0 {
		v.Set("era", strconv.FormatUint(after.Era, 10))
	}
	u.RawQuery = v.Encode()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), http.NoBody)
	if err != nil {
		return Change{}, err
	}
	p, err := c.Do(q)
	if err != nil {
		return Change{}, err
	}
	defer func() { _ = p.Body.Close() }()
	if err := verifier.Fields(p.Header); err != nil {
		return Change{}, err
	}
	if p.StatusCode != http.StatusOK {
		return Change{}, merry.Wrap(ErrPeer, merry.AppendMessagef("status %d", p.StatusCode))
	}
	b := &countingReader{Reader: io.LimitReader(pacer.Reader(ctx, p.Body), maxCopyBytes)}
	h, err := decodeChange(b)
	if err != nil {
		return Change{}, merry.Prependf(err, "after %d bytes", b.n)
	}
	return h, nil
}

// countingReader counts the bytes read.
type countingReader struct {
	io.Reader
	n int64
}

// Read reads and counts.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.n += int64(n)
	return n, err
}

// decodeChange decodes a change row by row, so that neither an unfinished text nor the rows it would have exceed the bounds.
func decodeChange(r io.Reader) (Change, error) {
	var h Change
	d := json.NewDecoder(r)
	if err := expect(d, json.Delim('{')); err != nil {
		return Change{}, err
	}
	for d.More() {
		k, err := d.Token()
		if err != nil {
			return Change{}, err
		}
		switch k {
		case "rows":
			h.Rows, err = decodeRows(d)
		case "version":
			err = d.Decode(&h.Version)
		case "whole":
			err = d.Decode(&h.Whole)
		case "digest":
			err = d.Decode(&h.Digest)
		case "era":
			err = d.Decode(&h.Era)
		case "settled":
			err = d.Decode(&h.Settled)
		case "ceiling":
			err = d.Decode(&h.Ceiling)
		case "complete":
			h.Complete, err = decodeComplete(d)
		case "age_ms":
			var ms int64
			err = d.Decode(&ms)
			h.Age = time.Duration(ms) * time.Millisecond
		case "retained":
			h.Retained, err = decodeRetained(d)
		default:
			// A newer peer may send more.
			var ignored json.RawMessage
			err = d.Decode(&ignored)
		}
		if err != nil {
			return Change{}, err
		}
	}
	return h, expect(d, json.Delim('}'))
}

func decodeRows(d *json.Decoder) ([]Row, error) {
	return decodeList(d, func(r rowText) Row { return Row(r) })
}

func decodeRetained(d *json.Decoder) ([]RetainedRow, error) {
	return decodeList(d, func(r retainedText) RetainedRow {
		return RetainedRow{Row: Row(r.rowText), Age: time.Duration(r.AgeMilliseconds) * time.Millisecond}
	})
}

func decodeComplete(d *json.Decoder) (map[uint64]uint64, error) {
	ps, err := decodeList(d, func(p positionText) Position { return Position(p) })
	m := make(map[uint64]uint64, len(ps))
	for _, p := range ps {
		m[p.Era] = p.Version
	}
	return m, err
}

// decodeList decodes a list row by row.
func decodeList[T, R any](d *json.Decoder, row func(T) R) ([]R, error) {
	t, err := d.Token()
	if err != nil || t == nil {
		return nil, err
	}
	if t != json.Delim('[') {
		return nil, merry.Wrap(ErrPeer, merry.AppendMessagef("rows begin with %v", t))
	}
	var rs []R
	for d.More() {
		if len(rs) == maxCopyRows {
			return nil, merry.Wrap(ErrPeer, merry.AppendMessagef("over %d rows", maxCopyRows))
		}
		var r T
		if err := d.Decode(&r); err != nil {
			return nil, err
		}
		rs = append(rs, row(r))
	}
	return rs, expect(d, json.Delim(']'))
}

func expect(d *json.Decoder, want json.Delim) error {
	t, err := d.Token()
	if err == nil && t != want {
		return merry.Wrap(ErrPeer, merry.AppendMessagef("%v in place of %v", t, want))
	}
	return err
}
