package authenticator

import (
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Header fields, parameter and authentication scheme that carry a key. Proxy-Authorization is not read, only removed.
const (
	headerAuthorization = "Authorization"
	headerProxyAuth     = "Proxy-Authorization"
	headerKey           = "X-Api-Key"
	paramKey            = "api_key"
	bearer              = "bearer "
)

// ErrSeveralKeys is returned if a request carries different keys.
var ErrSeveralKeys = merry.New("request shows more than one key")

// Extract returns the key that a request carries in Authorization, X-Api-Key, the query or a cookie, or "" if there is none.
func Extract(r *http.Request) (string, error) {
	var s string
	for _, k := range candidates(r) {
		if k == "" || k == s {
			continue
		}
		if s != "" {
			return "", ErrSeveralKeys
		}
		s = k
	}
	return s, nil
}

// candidates returns the values of all places in which a request may carry a key.
func candidates(r *http.Request) []string {
	var c []string
	for _, v := range r.Header.Values(headerAuthorization) {
		if len(v) > len(bearer) && strings.EqualFold(v[:len(bearer)], bearer) {
			c = append(c, strings.TrimSpace(v[len(bearer):]))
		}
	}
	c = append(c, r.Header.Values(headerKey)...)
	if strings.Contains(r.URL.RawQuery, paramKey) {
		c = append(c, r.URL.Query()[paramKey]...)
	}
	for _, k := range r.CookiesNamed(paramKey) {
		c = append(c, k.Value)
	}
	return c
}
