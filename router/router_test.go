package router_test

import (
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
