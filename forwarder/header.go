package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// HeaderDeadline carries the absolute deadline of a request.
const HeaderDeadline = "Celeryhead-Deadline"

// DeadlineLayout is RFC 3339 in UTC with milliseconds; formatting truncates, so the stated deadline is never late.
const DeadlineLayout = "2006-01-02T15:04:05.000Z"

// hopByHop lists the header fields that concern one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// notInTrailers lists further fields that a trailer must not carry (RFC 9110, section 6.5.1).
var notInTrailers = []string{
	"Authorization",
	"Content-Encoding",
	"Content-Length",
	"Content-Range",
	"Content-Type",
	"Cookie",
	"Expect",
	"Host",
	"Idempotency-Key",
	"Set-Cookie",
}

// FormatDeadline returns t in the form of HeaderDeadline.
func FormatDeadline(t time.Time) string {
	return t.UTC().Format(DeadlineLayout)
}

// RemoveHopByHop deletes the fields that concern one connection, including those named in Connection.
func RemoveHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			h.Del(textproto.TrimString(f))
		}
	}
	for _, f := range hopByHop {
		delete(h, f)
	}
}

// asksUpgrade reports whether the request asks to leave HTTP/1.1.
func asksUpgrade(r *http.Request) bool {
	return r.Method == http.MethodConnect || len(r.Header["Upgrade"]) > 0
}

// trailerAllowed keeps credentials and the project's own fields, which are checked in the header only, out of trailers.
func trailerAllowed(k string) bool {
	k = textproto.CanonicalMIMEHeaderKey(k)
	if strings.HasPrefix(k, "Celeryhead-") {
		return false
	}
	for _, f := range hopByHop {
		if k == f {
			return false
		}
	}
	for _, f := range notInTrailers {
		if k == f {
			return false
		}
	}
	return true
}
