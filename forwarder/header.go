package forwarder

import (
	"net/http"
	"net/textproto"
	"strings"
	"time"
)

// HeaderDeadline is the header field with the absolute deadline of a request.
const HeaderDeadline = "Celeryhead-Deadline"

// DeadlineLayout is RFC 3339 in UTC with milliseconds. Formatting truncates, so the deadline sent is never later than
// the real one.
const DeadlineLayout = "2006-01-02T15:04:05.000Z"

// hopByHop lists the hop-by-hop header fields (RFC 9110, section 7.6.1).
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

// forbiddenTrailers lists further fields that must not appear in trailers (RFC 9110, section 6.5.1).
var forbiddenTrailers = []string{
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

// FormatDeadline formats t as a value of HeaderDeadline.
func FormatDeadline(t time.Time) string {
	return t.UTC().Format(DeadlineLayout)
}

// RemoveHopByHop deletes the hop-by-hop fields, including those named in Connection.
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

// trailerAllowed reports whether the field k may be forwarded in a trailer. It rejects credentials and the project's
// own fields, which are checked only in the header.
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
	for _, f := range forbiddenTrailers {
		if k == f {
			return false
		}
	}
	return true
}
