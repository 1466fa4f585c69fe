package cataloger_test

import (
	"crypto/sha256"
	"maps"
	"math"
	"net/netip"
	"slices"
	"testing"

	"celeryhead.dev/celeryhead/authenticator"
	"celeryhead.dev/celeryhead/cataloger"
)

func configuration(version uint64) cataloger.Configuration {
	return cataloger.Configuration{
		Version: version,
		Routes: []cataloger.Route{
			{Name: "all", Host: "ice.example", Prefix: "/a/"},
			{Name: "part", Host: "ice.example", Prefix: "/a/b/", Regions: []string{"almaty"}},
		},
		Accounts: []cataloger.Account{{Name: "bakery", Keys: []authenticator.Digest{sha256.Sum256([]byte("k"))}}},
		Services: []cataloger.Service{{Name: "map"}},
	}
}

// Guards against matching a shorter prefix, the route of another host, or no route.
func TestFindTakesLongestPrefix(t *testing.T) {
	b := cataloger.NewBook()
	b.Configure(configuration(1))
	for _, c := range []struct{ host, path, want string }{
		{"ice.example", "/a/b/c", "part"},
		{"ICE.example:80", "/a/b/", "part"},
		{"ice.example", "/a/bc", "all"},
		{"ice.example", "/a", ""},
		{"other.example", "/a/b/", ""},
	} {
		r, ok := b.Catalog().Find(c.host, c.path)
		if got := ""; ok != (c.want != "") || ok && r.Name != c.want {
			if ok {
				got = r.Name
			}
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against an older configuration that arrives late and replaces a newer one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	b := cataloger.NewBook()
	if !b.Configure(configuration(7)) || b.Configure(configuration(6)) || b.Configure(configuration(7)) {
		t.Error("applied a version that is not newer")
	}
	if v := b.Catalog().Version; v != 7 {
		t.Errorf("version %d", v)
	}
}

func target(name, domain string) cataloger.Target {
	return cataloger.Target{Name: name, Service: "map", FailureDomain: domain, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

// Guards against requests to leaving targets and to targets in an evacuated failure domain.
func TestUnusableTargetsAreExcluded(t *testing.T) {
	b := cataloger.NewBook()
	b.Configure(configuration(1))
	leaving := target("c", "arbat")
	leaving.Leaving = true
	b.Assign(map[string]cataloger.Target{"a": target("a", "arbat"), "b": target("b", "medeu"), "c": leaving})
	names := func() (r []string) {
		for _, k := range b.Catalog().Pool("map").Targets {
			r = append(r, k.Name)
		}
		return r
	}
	if got := names(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("targets %v", got)
	}
	b.Evacuate(map[string]bool{"arbat": true})
	if got := names(); !slices.Equal(got, []string{"b"}) || b.Catalog().Has("a") {
		t.Errorf("targets %v during an evacuation", got)
	}
	if _, ok := b.Catalog().Target("map", "a"); ok {
		t.Error("an evacuated target is found")
	}
	b.Evacuate(nil)
	if got := names(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("targets %v after the evacuation", got)
	}
}

// Guards against two region limits of which only one is applied.
func TestIntersect(t *testing.T) {
	for _, c := range []struct{ a, b, want []string }{
		{nil, nil, nil},
		{nil, []string{"x"}, []string{"x"}},
		{[]string{"x", "y"}, []string{"y", "z"}, []string{"y"}},
		{[]string{"x"}, []string{"y"}, []string{""}},
	} {
		if got := cataloger.Intersect(c.a, c.b); !slices.Equal(got, c.want) {
			t.Errorf("%v and %v: %v, want %v", c.a, c.b, got, c.want)
		}
	}
}

// Guards against dropping targets whose rows expired during an outage of the store, and against retaining them
// forever.
func TestRosterRetainsExpiredTargets(t *testing.T) {
	var r cataloger.Roster
	r.List(map[string]cataloger.Target{"a": target("a", "x"), "b": target("b", "x")}, false)
	r.List(map[string]cataloger.Target{"b": target("b", "x")}, true)
	if got := slices.Sorted(maps.Keys(r.Targets())); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("targets %v after an outage", got)
	}
	if !r.Lapse() || r.Lapse() {
		t.Error("Lapse does not drop the retained target exactly once")
	}
	if got := slices.Sorted(maps.Keys(r.Targets())); !slices.Equal(got, []string{"b"}) {
		t.Errorf("targets %v", got)
	}
	r.List(nil, false)
	if len(r.Targets()) != 0 {
		t.Error("a target that left without an outage is kept")
	}
}

// Guards against a target that states a huge number of slots and looks idle however many requests it has.
func TestStatedSlotsAreBounded(t *testing.T) {
	for name, c := range map[string]struct{ stated, want []int }{
		"usual":                  {[]int{3, 3, 4, 5}, []int{3, 3, 4, 5}},
		"one far too many":       {[]int{3, math.MaxInt, 3}, []int{3, 24, 3}},
		"one of two":             {[]int{math.MaxInt, 3}, []int{24, 3}},
		"a large one, not odd":   {[]int{3, 3, 24}, []int{3, 3, 24}},
		"all state far too many": {[]int{math.MaxInt, math.MaxInt}, []int{math.MaxInt32 - 7, math.MaxInt32 - 7}},
	} {
		b := cataloger.NewBook()
		b.Configure(configuration(1))
		ts := map[string]cataloger.Target{}
		for i, n := range c.stated {
			g := target(string(rune('a'+i)), "d")
			g.Slots = n
			ts[g.Name] = g
		}
		b.Assign(ts)
		for i, g := range b.Catalog().Pool(ts["a"].Service).Targets {
			if g.Slots != c.want[i] {
				t.Errorf("%s: %s has %d slots, want %d", name, g.Name, g.Slots, c.want[i])
			}
		}
	}
}
