package router

import (
	"slices"
	"strings"

	"celeryhead.dev/celeryhead/composer"
)

// Table holds the routes of one configuration version.
type Table struct {
	prefixes map[string][]composer.Route
	names    map[string]composer.Route
}

// New returns the table of the routes.
func New(rs []composer.Route) *Table {
	t := &Table{
		prefixes: make(map[string][]composer.Route, len(rs)),
		names:    make(map[string]composer.Route, len(rs)),
	}
	for _, r := range rs {
		p := strings.TrimSuffix(r.PathPrefix, "/")
		t.prefixes[p] = append(t.prefixes[p], r)
		t.names[r.Name] = r
	}
	return t
}

// Find returns the route of a request; found is false if no route has the path, allowed if none of them has the method.
func (t *Table) Find(method, path string) (r composer.Route, found, allowed bool) {
	p := strings.TrimSuffix(path, "/")
	for {
		rs := t.prefixes[p]
		found = found || len(rs) > 0
		if i := slices.IndexFunc(rs, func(r composer.Route) bool { return accepts(r, method) }); i >= 0 {
			return rs[i], true, true
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			return composer.Route{}, found, false
		}
		p = p[:i]
	}
}

// Named returns the route with a name.
func (t *Table) Named(name string) (composer.Route, bool) {
	r, ok := t.names[name]
	return r, ok
}

func accepts(r composer.Route, method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
