package authenticator_test

import (
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/composer"
)

var (
	secret = "ch_koshe-map_web_" + strings.Repeat("aB3_-", 8) + "xyz"
	other  = "ch_koshe-map_web_" + strings.Repeat("Z", 43)
)

// Guards P3: a request is attributed only to the account of its key, whichever place carries the key.
func TestExtractAndCheck(t *testing.T) {
	k := authenticator.New([]composer.Account{{Name: "koshe-map", Keys: []composer.Key{{Name: "web", Digest: sha256.Sum256([]byte(secret))}}}})
	cases := []struct {
		name  string
		set   func(r *http.Request)
		valid bool
		fails bool
	}{
		{"bearer", func(r *http.Request) { r.Header.Set("Authorization", "bearer "+secret) }, true, false},
		{"header", func(r *http.Request) { r.Header.Set("X-Api-Key", secret) }, true, false},
		{"query", func(r *http.Request) { r.URL.RawQuery = "a=1&api_key=" + secret }, true, false},
		{"cookie", func(r *http.Request) { r.Header.Set("Cookie", "api_key="+secret) }, true, false},
		{"same key twice", func(r *http.Request) {
			r.Header.Set("X-Api-Key", secret)
			r.URL.RawQuery = "api_key=" + secret
		}, true, false},
		{"different keys", func(r *http.Request) {
			r.Header.Set("X-Api-Key", secret)
			r.URL.RawQuery = "api_key=" + other
		}, false, true},
		{"other key", func(r *http.Request) { r.Header.Set("X-Api-Key", other) }, false, false},
		{"other account", func(r *http.Request) { r.Header.Set("X-Api-Key", strings.Replace(secret, "koshe-map", "koshe-fee", 1)) }, false, false},
		{"truncated", func(r *http.Request) { r.Header.Set("X-Api-Key", secret[:len(secret)-1]) }, false, false},
		{"none", func(*http.Request) {}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/map", http.NoBody)
			c.set(r)
			s, err := authenticator.Extract(r)
			if (err != nil) != c.fails {
				t.Fatalf("error %v", err)
			}
			if _, ok := k.Check(s); ok != c.valid {
				t.Fatalf("valid = %v, want %v", ok, c.valid)
			}
		})
	}
}

// Guards P4: no part of a forwarded request contains a key in any encoding, and all other parts are kept.
func TestStripRemovesKeysEverywhere(t *testing.T) {
	var b strings.Builder
	for i := range len(secret) {
		b.WriteString("%" + strings.ToUpper(string("0123456789abcdef"[secret[i]>>4])+string("0123456789abcdef"[secret[i]&15])))
	}
	encoded := b.String()
	h := http.Header{
		"Authorization":       {"Bearer " + secret},
		"Proxy-Authorization": {"Basic eA=="},
		"X-Api-Key":           {secret},
		"Referer":             {"https://example.org/?api_key=" + encoded},
		"X-Note":              {"x", "see " + other},
		"Cookie":              {"theme=dark; api_key=" + secret, "n=1"},
		"Accept":              {"text/plain"},
	}
	u, err := url.Parse("/map?b=%20&api_key=" + secret + "&%61pi_key=" + encoded + "&z=" + url.QueryEscape(encoded) + "&c=3")
	if err != nil {
		t.Fatal(err)
	}
	if err := authenticator.Strip(h, u); err != nil {
		t.Fatal(err)
	}
	if u.RawQuery != "b=%20&c=3" {
		t.Errorf("query = %q", u.RawQuery)
	}
	if len(h) != 2 || h.Get("Cookie") != "theme=dark; n=1" || h.Get("Accept") != "text/plain" {
		t.Errorf("header = %v", h)
	}
	if err := authenticator.Strip(h, &url.URL{Path: "/" + secret}); err == nil {
		t.Error("key in path was accepted")
	}
}

func FuzzStrip(f *testing.F) {
	f.Add("a=1&api_key="+secret, "Referer", secret)
	f.Add("%61pi_key=x;y", "Cookie", "api_key="+secret+"; a=b")
	f.Fuzz(func(t *testing.T, query, name, value string) {
		h := http.Header{}
		h.Set(name, value)
		h.Add("Cookie", value)
		u := &url.URL{Path: "/", RawQuery: query}
		if err := authenticator.Strip(h, u); err != nil {
			t.Fatal(err)
		}
		for n, vs := range h {
			if strings.Contains(n+strings.Join(vs, " "), secret) {
				t.Fatalf("key left in header %q", n)
			}
		}
		if strings.Contains(u.RawQuery, secret) || u.Query().Get("api_key") != "" {
			t.Fatalf("key left in query %q", u.RawQuery)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	k := authenticator.New([]composer.Account{{Name: "koshe-map", Keys: []composer.Key{{Name: "web", Digest: sha256.Sum256([]byte(secret))}}}})
	b.ReportAllocs()
	for b.Loop() {
		k.Check(secret)
	}
}
