package pipeliner

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// scanner finds the end of a head that arrives in pieces. As in net/http, an empty line ends it, and lines end with or without
// a carriage return.
type scanner struct {
	// newLine is true if the last byte was a line feed; carriage is true if a carriage return followed it.
	newLine, carriage bool
}

// end returns the number of bytes of p up to the end of the head; ok is false if the head does not end in p.
func (s *scanner) end(p []byte) (n int, ok bool) {
	for n < len(p) {
		switch {
		case s.newLine && p[n] == '\n':
			*s = scanner{}
			return n + 1, true
		case s.newLine && !s.carriage && p[n] == '\r':
			s.carriage = true
			n++
			continue
		}
		*s = scanner{}
		i := bytes.IndexByte(p[n:], '\n')
		if i < 0 {
			return len(p), false
		}
		s.newLine = true
		n += i + 1
	}
	return n, false
}

var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parse reads a complete head. It returns nil if net/http might read it in another way, or if the request may not run before
// its turn whatever its route.
func parse(head []byte) *http.Request {
	if !bytes.HasPrefix(head, []byte("GET /")) && !bytes.HasPrefix(head, []byte("HEAD /")) || !strict(head) {
		return nil
	}
	b := readers.Get().(*bufio.Reader)
	defer readers.Put(b)
	b.Reset(bytes.NewReader(head))
	r, err := http.ReadRequest(b)
	if err != nil || !plain(r) || strings.Trim(r.Host, hostCharacters) != "" || hasBlank(r.Header) {
		return nil
	}
	return r
}

// hasBlank reports whether the name of a field has a blank, to which the server of net/http answers 400.
func hasBlank(h http.Header) bool {
	for k := range h {
		if strings.Contains(k, " ") {
			return true
		}
	}
	return false
}

// closes reports whether the server of net/http may close the connection after the answer because the request asks for it. It
// finds the word in more values than Request.Close does.
func closes(r *http.Request) bool {
	return r.Close || strings.Contains(strings.ToLower(r.Header.Get("Connection")), "close")
}

const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_:[]"

// plain reports whether nothing in the request itself keeps it from running beside others of its connection.
func plain(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ProtoMajor == 1 && r.ProtoMinor == 1 &&
		r.ContentLength == 0 && len(r.TransferEncoding) == 0 && len(r.Header["Expect"]) == 0 && len(r.Header["Upgrade"]) == 0
}

// maxLines bounds the lines of a head that is started before its turn: short fields take up to eighty times their size once they
// are parsed, which nothing else bounds here.
const maxLines = 64

// strict reports whether each line of a head ends with CRLF, none is continued, none has other control characters, and exactly
// one is a Host field. http.ReadRequest accepts heads that the server of net/http refuses.
func strict(head []byte) bool {
	hosts := 0
	for lines := 0; len(head) > 0; lines++ {
		i := bytes.IndexByte(head, '\n')
		if i < 1 || head[i-1] != '\r' || lines > maxLines {
			return false
		}
		l := head[:i-1]
		head = head[i+1:]
		if len(l) > 0 && (l[0] == ' ' || l[0] == '\t') || slices.ContainsFunc(l, isControl) {
			return false
		}
		if len(l) >= len(hostField) && bytes.EqualFold(l[:len(hostField)], []byte(hostField)) {
			hosts++
		}
	}
	return hosts == 1
}

const hostField = "host:"

func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// same reports whether two requests have the same head.
func same(a, b *http.Request) bool {
	return a.Method == b.Method && a.RequestURI == b.RequestURI && a.Host == b.Host && maps.EqualFunc(a.Header, b.Header, slices.Equal)
}
