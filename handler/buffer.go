package handler

import (
	"io"
	"sync/atomic"

	"celeryhead.dev/celeryhead/forwarder"
)

const (
	// bufferedAnswer is how much of an answer is read before the caller gets its first byte, in bytes; an answer that breaks
	// off within it can be had from another target.
	bufferedAnswer = 128 << 10
	// leastBuffered is the same for answers that find no room.
	leastBuffered = 4 << 10
	// bufferShare is the divisor of the memory of the process that buffered answers may take together. Callers that read
	// slowly hold theirs until the deadline, so their number is not bounded by the slots of the targets.
	bufferShare = 4
	// unknownMemory is the memory of a process whose settings do not state it.
	unknownMemory = 256 << 20
)

// room bounds the bytes of all answers that wait for their callers.
type room struct {
	taken atomic.Int64
}

// take takes n bytes if that leaves no more than limit taken, and reports whether it did.
func (r *room) take(n, limit int64) bool {
	if r.taken.Add(n) <= limit {
		return true
	}
	r.taken.Add(-n)
	return false
}

func (r *room) put(n int64) { r.taken.Add(-n) }

// answersLimit returns what all buffered answers may take, in bytes.
func (s *Server) answersLimit() int64 {
	memory := s.limits.Load().Memory
	if memory <= 0 {
		memory = unknownMemory
	}
	return memory / bufferShare
}

// buffer reads the beginning of the answer to c, so that one that breaks off early reaches no caller, and reports whether that
// is the whole answer; closed is called when the answer is closed.
func (s *Server) buffer(c *call, x *forwarder.Answer, closed func()) (whole bool, err error) {
	n := int64(bufferedAnswer)
	if l := x.ContentLength; l >= 0 {
		n = min(n, l+1)
	}
	room := &s.answers
	if c.reserved >= n {
		room.put(c.reserved - n)
		c.reserved = 0
	} else if !room.take(n, s.answersLimit()) {
		n, room = min(n, leastBuffered), nil
	}
	b, err := io.ReadAll(io.LimitReader(x.Body, n))
	if err != nil {
		_ = x.Body.Close()
		if room != nil {
			room.put(n)
		}
		return false, err
	}
	a := &bufferedBody{buffered: b, rest: x.Body, closed: closed, room: room}
	if room != nil {
		a.taken = int64(len(b))
		room.put(n - a.taken)
	}
	x.Body = a
	return int64(len(b)) < n, nil
}

// bufferedBody is an answer of which the beginning was read.
type bufferedBody struct {
	buffered []byte
	rest     io.ReadCloser
	closed   func()
	// room gets the taken bytes back; it is nil if there are none.
	room  *room
	taken int64
}

// Read returns the buffered bytes, then the rest.
func (b *bufferedBody) Read(p []byte) (int, error) {
	if len(b.buffered) == 0 {
		b.release()
		return b.rest.Read(p)
	}
	n := copy(p, b.buffered)
	b.buffered = b.buffered[n:]
	return n, nil
}

func (b *bufferedBody) release() {
	if b.room != nil {
		b.room.put(b.taken)
		b.buffered, b.room = nil, nil
	}
}

// Close ends the exchange.
func (b *bufferedBody) Close() error {
	defer b.closed()
	b.release()
	return b.rest.Close()
}
