package resolver_test

import (
	"net/netip"
	"slices"
	"testing"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/resolver"
)

func instance(n byte, region, domain string, ready bool) gossiper.Member {
	return gossiper.Member{Address: netip.AddrFrom4([4]byte{10, 0, 0, n}), Region: region, FailureDomain: domain, Ready: ready}
}

// Guards against sending callers to another region without need, to a region that the route does not allow, or to
// instances that are not ready.
func TestChoose(t *testing.T) {
	all := []gossiper.Member{
		instance(1, "almaty", "arbat", true),
		instance(2, "almaty", "medeu", true),
		instance(3, "almaty", "medeu", false),
		instance(4, "astana", "esil", true),
		instance(5, "shymkent", "tauke", true),
	}
	for _, c := range []struct {
		name  string
		query resolver.Query
		lost  string
		want  []byte
	}{
		{"own region, own failure domain first", resolver.Query{Region: "almaty", FailureDomain: "medeu"}, "", []byte{2, 1}},
		{"own region although the route is limited to another", resolver.Query{Region: "almaty", Homes: []string{"astana"}}, "", []byte{1, 2}},
		{"route region when the own region is lost", resolver.Query{Region: "almaty", Homes: []string{"astana"}}, "almaty", []byte{4}},
		{"any when the own region is lost", resolver.Query{Region: "almaty"}, "almaty", []byte{4, 5}},
		{"any for an unknown region", resolver.Query{Region: "moon"}, "", []byte{1, 2, 4, 5}},
	} {
		var ms []gossiper.Member
		for _, m := range all {
			if m.Region != c.lost {
				ms = append(ms, m)
			}
		}
		var got []byte
		for _, a := range resolver.Choose(c.query, ms) {
			got = append(got, a.As4()[3])
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if as := resolver.Choose(resolver.Query{Region: "almaty"}, all[2:3]); as != nil {
		t.Errorf("returned an instance that is not ready: %v", as)
	}
}
