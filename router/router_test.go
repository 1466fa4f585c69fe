package router_test

import (
	"errors"
	"net/url"
	"path"
	"testing"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/router"
)

var table = router.New([]composer.Route{
	{Name: "root", PathPrefix: "/", Methods: []string{"GET"}},
	{Name: "map", PathPrefix: "/map/"},
	{Name: "book", PathPrefix: "/map/book", Methods: []string{"POST"}},
	{Name: "see", PathPrefix: "/map/book", Methods: []string{"GET"}},
})

// Guards against a request that takes the rules (key, idempotency) of another route.
func TestFind(t *testing.T) {
	cases := []struct {
		method, path, want string
		found, allowed     bool
	}{
		{"GET", "/", "root", true, true},
		{"GET", "/mapper", "root", true, true},
		{"GET", "/map", "map", true, true},
		{"POST", "/map/x/y", "map", true, true},
		{"POST", "/map/book", "book", true, true},
		{"GET", "/map/book/7", "see", true, true},
		{"PUT", "/map/book/7", "map", true, true},
		{"PUT", "/other", "", true, false},
		{"GET", "", "root", true, true},
	}
	for _, c := range cases {
		r, f, a := table.Find(c.method, c.path)
		if r.Name != c.want || f != c.found || a != c.allowed {
			t.Errorf("%s %s: %q %v %v, want %q %v %v", c.method, c.path, r.Name, f, a, c.want, c.found, c.allowed)
		}
	}
	if _, f, _ := router.New(nil).Find("GET", "/x"); f {
		t.Error("found a route in an empty table")
	}
}

func BenchmarkFind(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		table.Find("GET", "/map/book/7/seats/12")
	}
}

// Guards P3 against a path under an open route that a target reads as one under a keyed route.
func TestCheckPath(t *testing.T) {
	for p, want := range map[string]error{
		"/map/7":             nil,
		"/map/a%20b/":        nil,
		"/map/..x/.y":        nil,
		"/":                  nil,
		"map":                router.ErrRelative,
		"/map/../fees":       router.ErrDotSegments,
		"/map/%2e%2E/fees":   router.ErrDotSegments,
		"/map/.":             router.ErrDotSegments,
		"/map/..%2ffees":     router.ErrSeparator,
		"/map/..%5Cfees":     router.ErrSeparator,
		"/map//fees":         router.ErrSeparator,
		"/map/..%255c/":      nil,
		"/map\\..\\fees":     router.ErrSeparator,
		"/%2e%2e%2f%2e%2e/x": router.ErrSeparator,
	} {
		u, err := url.Parse(p)
		if err != nil {
			t.Fatal(err)
		}
		if err := router.CheckPath(u); !errors.Is(err, want) || (want == nil) != (err == nil) {
			t.Errorf("%s: %v, want %v", p, err, want)
		}
	}
}

func FuzzCheckPath(f *testing.F) {
	f.Add("/map/../fees")
	f.Add("/a/%2e%2e/b")
	f.Fuzz(func(t *testing.T, p string) {
		u, err := url.ParseRequestURI(p)
		if err != nil || router.CheckPath(u) != nil {
			return
		}
		if c := path.Clean(u.Path); c != u.Path && c+"/" != u.Path {
			t.Fatalf("%q is also %q", u.Path, c)
		}
	})
}
