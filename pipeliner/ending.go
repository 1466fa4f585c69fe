package pipeliner

import (
	"net/http"

	"celeryhead.dev/celeryhead/closer"
)

// response is the writer of one answer.
type response struct {
	http.ResponseWriter
	conn    *conn
	decided bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of the answer.
func (w *response) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.decide()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *response) Write(p []byte) (int, error) {
	w.decide()
	return w.ResponseWriter.Write(p)
}

// FlushError writes what is buffered.
func (w *response) FlushError() error {
	w.decide()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// decide sets the field Connection just before the head is written. What a handler put there is only a wish.
func (w *response) decide() {
	if w.decided {
		return
	}
	w.decided = true
	h := w.Header()
	if w.conn.ends(h.Get("Connection") == "close") {
		h.Set("Connection", "close")
	} else {
		h.Del("Connection")
	}
}

// setState records the state that net/http gives the connection.
func (c *conn) setState(s http.ConnState) {
	if s == http.StateIdle {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.waiting = true
	}
}

// ends decides at the head of an answer whether it is the last one; wish is true if its handler wants that. No request starts
// after an answer that is.
func (c *conn) ends(wish bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = c.ending || wish || c.listener.leaving.Load()
	c.last = c.ending && len(c.heads) == 0
	return c.last
}

// behind reports whether started requests wait for the answer to the current one.
func (c *conn) behind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.heads) > 0
}

// closeIdle closes the connection if it waits for a request, and reports whether it is closed.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	idle := c.waiting && c.low == c.high
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		_ = c.Close()
	}
	return idle
}

// Close closes the connection and drops its runs. After the last answer the caller gets time to read it; a second call closes the
// connection at once.
func (c *conn) Close() error {
	c.stop()
	c.mu.Lock()
	linger := c.last && !c.lingering
	c.lingering = c.lingering || linger
	c.mu.Unlock()
	if linger {
		go func() {
			defer c.listener.forget(c)
			closer.Linger(c.Conn)
		}()
		return nil
	}
	c.listener.forget(c)
	return c.Conn.Close()
}

// SetLinger is that of a TCP connection. Close then closes it as the kernel is told here.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	if t, ok := unwrap[interface{ SetLinger(seconds int) error }](c.Conn); ok {
		return t.SetLinger(seconds)
	}
	return nil
}
