package admitter

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// ErrNoRoom means that the budget has no room for the body of a request or its trailer.
var ErrNoRoom = errors.New("no room in the budget of memory")

type runKey struct{}

// Run is a request whose handler runs. All methods work with nil, for a request without a budget.
type Run struct {
	conn        *conn
	reserved    int64
	descriptors int
	refused     bool
	receiving   bool
}

// FromContext returns the run of a request, or nil.
func FromContext(ctx context.Context) *Run {
	u, _ := ctx.Value(runKey{}).(*Run)
	return u
}

// Refused reports whether there was no room for the request, so that its handler must refuse it.
func (u *Run) Refused() bool { return u != nil && u.refused }

// Trust records that the request showed a valid key.
func (u *Run) Trust() {
	if u == nil {
		return
	}
	l := u.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	u.conn.holder.Trust()
}

// Reserve reserves n bytes until the end of the handler, and reports whether there was room.
func (u *Run) Reserve(n int) bool {
	if u == nil {
		return true
	}
	l := u.conn.listener
	l.mu.Lock()
	ok, vs := l.reserveLocked(u.conn, int64(n), 0)
	if ok {
		u.reserved += int64(n)
	}
	held := u.conn.peak
	l.mu.Unlock()
	l.end(vs)
	if !ok {
		l.config.Report(Report{Reason: NoRoom, Remote: u.conn.ends.remote, Bytes: held})
	}
	return ok
}

// received records that the body arrived.
func (u *Run) received() {
	l := u.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.conn.holder.Phase() == Body {
		u.conn.holder.Enter(Running)
	}
}

// end gives back what the request holds.
func (u *Run) end() {
	l := u.conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	h := u.conn.holder
	h.EndRun()
	l.budget.Release(h, u.reserved, u.descriptors)
	if h.runs == 0 && h.Phase() != Idle {
		h.Enter(Rest)
	}
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	run     *Run
	request *http.Request
	counted bool
}

// Read reads the body. The trailer is known at its end; net/http limits it to 4 KB.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) || b.counted {
		return n, err
	}
	b.counted = true
	b.run.received()
	if t := fieldBytes(b.request.Trailer, runFieldBytes); t > 0 && !b.run.Reserve(int(t)) {
		return n, ErrNoRoom
	}
	return n, err
}
