package authenticator

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrKeyInPath means that a key is part of the path, where it cannot be removed without changing the request.
var ErrKeyInPath = merry.New("the path contains a key")

// shape matches anything that has the form of a key, also one of another account or a withdrawn one.
var shape = regexp.MustCompile(`ch_[a-z0-9-]+_[a-z0-9-]+_[A-Za-z0-9_-]{43}`)

// maxUnescape bounds how often a value is percent-decoded in search of a key.
const maxUnescape = 3

// Strip removes every key from the parts of a request that are forwarded: header, cookies, query and announced trailers.
func Strip(h http.Header, u *url.URL) error {
	if hasKey(u.Path) {
		return ErrKeyInPath
	}
	StripHeader(h)
	stripQuery(u)
	return nil
}

// StripHeader removes every key from a header or trailer.
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

// stripQuery keeps the other parameters byte for byte, because a target may sign or compare the raw query.
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

// hasKey also looks behind percent-encoding, as in a Referer that quotes an URL.
func hasKey(s string) bool {
	for range maxUnescape {
		if strings.Contains(s, prefix) && shape.MatchString(s) {
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
	return shape.MatchString(s)
}
