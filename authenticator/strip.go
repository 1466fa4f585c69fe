package authenticator

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrKeyInPath is returned if the path contains a key: removing it would address another resource.
var ErrKeyInPath = merry.New("the path contains a key")

// keyPattern matches everything in the format of a key, including keys of other accounts and revoked keys.
var keyPattern = regexp.MustCompile(`ch_[a-z0-9-]+_[a-z0-9-]+_[A-Za-z0-9_-]{43}`)

// maxDecodePasses limits how often a value is percent-decoded in the search for a key.
const maxDecodePasses = 3

// Strip removes every key from the header, the cookies and the query of a request before it is forwarded. It returns
// ErrKeyInPath if the path contains a key.
func Strip(h http.Header, u *url.URL) error {
	if hasKey(u.Path) {
		return ErrKeyInPath
	}
	StripHeader(h)
	stripQuery(u)
	return nil
}

// StripHeader removes the fields that carry keys, and every other field whose name or value contains one, from a header
// or trailer.
func StripHeader(h http.Header) {
	h.Del(headerAuthorization)
	h.Del(headerProxyAuth)
	h.Del(headerKey)
	stripCookies(h)
	for n, vs := range h {
		if hasKey(n) || hasAnyKey(vs) {
			delete(h, n)
		}
	}
}

// stripCookies removes the cookies that carry or contain a key and keeps the others.
func stripCookies(h http.Header) {
	vs := h.Values("Cookie")
	if len(vs) == 0 {
		return
	}
	var keep []string
	for _, v := range vs {
		for c := range strings.SplitSeq(v, ";") {
			c = strings.TrimSpace(c)
			n, _, _ := strings.Cut(c, "=")
			if c == "" || n == paramKey || hasKey(c) {
				continue
			}
			keep = append(keep, c)
		}
	}
	h.Del("Cookie")
	if len(keep) > 0 {
		h.Set("Cookie", strings.Join(keep, "; "))
	}
}

// stripQuery removes the parameters that carry or contain a key. The others stay byte for byte, because a target may
// sign or compare the raw query.
func stripQuery(u *url.URL) {
	if u.RawQuery == "" {
		return
	}
	var keep []string
	for p := range strings.SplitSeq(u.RawQuery, "&") {
		n, _, _ := strings.Cut(p, "=")
		if d, err := url.QueryUnescape(n); err == nil {
			n = d
		}
		if n == paramKey || hasKey(p) {
			continue
		}
		keep = append(keep, p)
	}
	u.RawQuery = strings.Join(keep, "&")
}

func hasAnyKey(vs []string) bool {
	for _, v := range vs {
		if hasKey(v) {
			return true
		}
	}
	return false
}

// hasKey reports whether a string contains a key, also percent-encoded, as in a Referer that quotes a URL.
func hasKey(s string) bool {
	for range maxDecodePasses {
		if strings.Contains(s, prefix) && keyPattern.MatchString(s) {
			return true
		}
		if !strings.Contains(s, "%") {
			return false
		}
		d, err := url.PathUnescape(s)
		if err != nil || d == s {
			return false
		}
		s = d
	}
	return keyPattern.MatchString(s)
}
