package composer_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/composer"
)

// sample is a small configuration that passes Check.
func sample() composer.Config {
	return composer.Config{
		Lookup: composer.Lookup{TimeToLive: 5 * time.Second},
		Regions: []composer.Region{
			{Name: "west", FailureDomains: []string{"west_b", "west_a"}},
			{Name: "east", FailureDomains: []string{"east_a"}},
		},
		Links: []composer.Link{{From: "west", To: "east", Megabits: 280}},
		Pools: []composer.Pool{{
			Name: "stock", ServiceTime: 50 * time.Millisecond, Reserve: 0.25, HealthPath: "/health",
			Targets: []composer.Target{
				{Name: "stock_2", Address: netip.MustParseAddrPort("[2001:db8::2]:80"), FailureDomain: "east_a", Slots: 3, Connections: 360},
				{Name: "stock_1", Address: netip.MustParseAddrPort("10.0.0.1:80"), FailureDomain: "west_a", Slots: 3, Connections: 360},
			},
		}},
		Routes: []composer.Route{
			{Name: "stock", PathPrefix: "/stock", Methods: []string{"HEAD", "GET"}, Pool: "stock", Open: true, Idempotent: true, Deadline: time.Second},
			{Name: "order", PathPrefix: "/stock", Methods: []string{"POST"}, Pool: "stock", Deadline: 2 * time.Second},
		},
		Accounts: []composer.Account{
			{Name: "maker-2", Rate: 10, Burst: 20, Keys: []composer.Key{{Name: "till", Digest: [32]byte{2}}}},
			{Name: "maker-1", Rate: 0.5, Burst: 1, Keys: []composer.Key{{Name: "till", Digest: [32]byte{1}}}},
		},
		Blocks: []composer.Block{
			{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "west", Weight: 30},
			{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Region: "east", Weight: 10},
		},
		Shifts: []composer.Shift{{
			Name: "to_east", From: "west", To: "east", Share: 0.5, Step: 0.1, StepInterval: time.Minute, Cap: 20,
			Start: time.Date(2026, 12, 4, 6, 0, 0, 0, time.FixedZone("", 5*3600)),
		}},
		Drains: []composer.Drain{{Name: "repair", Kind: composer.DrainTarget, Of: "stock_1"}},
	}
}

func encoded(c composer.Config) []byte {
	b, err := composer.Encode(c)
	So(err, ShouldBeNil)
	return b
}

// Guards against entries that are lost, reordered or changed on the way through the text.
func TestEncodeThenParse(t *testing.T) {
	Convey("A configuration passes Check and survives the text", t, func() {
		c := sample()
		So(c.Check(), ShouldBeNil)
		got, err := composer.Parse(encoded(c))
		So(err, ShouldBeNil)
		So(got, ShouldResemble, c.Canonical())
	})
}

// Guards against two digests for one configuration, which instances would take for two.
func TestEncodeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := sample()
		a, err := composer.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		shuffle(r, reflect.ValueOf(&c).Elem())
		b, err := composer.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(a, b) || composer.Digest(a) != composer.Digest(b) {
			t.Fatalf("bytes differ:\n%s\n%s", a, b)
		}
	})
}

// shuffle reorders every slice in v.
func shuffle(r *rand.Rand, v reflect.Value) {
	switch v.Kind() {
	case reflect.Slice:
		r.Shuffle(v.Len(), reflect.Swapper(v.Interface()))
		for i := range v.Len() {
			shuffle(r, v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				shuffle(r, v.Field(i))
			}
		}
	default:
	}
}

// Guards against faulty text that is accepted, and against reports that stop at the first problem.
func TestParseReportsEveryProblem(t *testing.T) {
	text := `
blook = 1
[lookup]
time_to_live = 5
[[regions]]
name = "west"
Name = "east"
failure_domains = ["a", 1]
[[pools]]
name = "stock"
service_time = "fast"
  [[pools.targets]]
  name = "stock_1"
  address = "localhost:80"
  slots = 1.5
  connections = 99999999999
[[accounts]]
name = "maker"
rate = nan
  [[accounts.keys]]
  name = "till"
  digest = "abcd"
[[shifts]]
start = 2026-12-04T06:00:00
`
	want := []string{
		`lookup: time_to_live: must be a duration such as "250ms"`,
		`region "west": failure_domains: must be an array of strings`,
		`region "west": Name: is not a known name`,
		`pool "stock", target "stock_1": address: must be an IP address and port, not "localhost:80"`,
		`pool "stock", target "stock_1": slots: must be an integer`,
		`pool "stock", target "stock_1": connections: is out of range`,
		`pool "stock": service_time: must be a duration such as "250ms", not "fast"`,
		`account "maker": rate: must be finite`,
		`account "maker", key "till": digest: must be 64 hexadecimal digits, not "abcd"`,
		`shift number 1: start: must be a date and time with offset`,
		`configuration: blook: is not a known name`,
	}
	Convey("All problems are named with entity and field", t, func() {
		_, err := composer.Parse([]byte(text))
		So(strings.Split(err.Error(), "\n"), ShouldResemble, want)
		So(composer.ProblemsOf(err), ShouldHaveLength, len(want))
	})
	Convey("A fault of syntax is named with its position", t, func() {
		_, err := composer.Parse([]byte("a = 1\nb ="))
		So(err.Error(), ShouldContainSubstring, "line 2")
	})
}

// Guards against each kind of meaningless configuration reaching the instances.
func TestCheckRefuses(t *testing.T) {
	at := func(n int) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), uint16(n)) }
	for _, v := range []struct {
		want  string
		fault func(c *composer.Config)
	}{
		{`lookup: time_to_live:`, func(c *composer.Config) { c.Lookup.TimeToLive = 0 }},
		{`region "West": name: "West" is not a valid name`, func(c *composer.Config) { c.Regions[0].Name = "West" }},
		{`region "east": name: "east" is a duplicate`, func(c *composer.Config) { c.Regions = append(c.Regions, c.Regions[1]) }},
		{`failure_domains: "west_a" is already in region "west"`, func(c *composer.Config) { c.Regions[1].FailureDomains[0] = "west_a" }},
		{`region "east": failure_domains: must not be empty`, func(c *composer.Config) { c.Regions[1].FailureDomains = nil }},
		{`to: must differ`, func(c *composer.Config) { c.Links[0].To = "west" }},
		{`link "west -> east": "west -> east" is a duplicate`, func(c *composer.Config) { c.Links = append(c.Links, c.Links[0]) }},
		{`megabits: must be above 0`, func(c *composer.Config) { c.Links[0].Megabits = math.NaN() }},
		{`pool "stock": service_time:`, func(c *composer.Config) { c.Pools[0].ServiceTime = -1 }},
		{`pool "stock": reserve:`, func(c *composer.Config) { c.Pools[0].Reserve = 1 }},
		{`pool "stock": targets: must not be empty`, func(c *composer.Config) { c.Pools[0].Targets = nil }},
		{`health_path:`, func(c *composer.Config) { c.Pools[0].HealthPath = "health" }},
		{`"stock_2" is a duplicate`, func(c *composer.Config) { c.Pools[0].Targets[1].Name = "stock_2" }},
		{`target "stock_1": address: 10.0.0.9:1 is already used by target "stock_2"`, func(c *composer.Config) {
			c.Pools[0].Targets[0].Address, c.Pools[0].Targets[1].Address = at(1), at(1)
		}},
		{`address: must be a unicast`, func(c *composer.Config) { c.Pools[0].Targets[0].Address = at(0) }},
		{`failure_domain: "moon" is not in`, func(c *composer.Config) { c.Pools[0].Targets[0].FailureDomain = "moon" }},
		{`slots: must be from 1`, func(c *composer.Config) { c.Pools[0].Targets[0].Slots = 0 }},
		{`connections: must be from`, func(c *composer.Config) { c.Pools[0].Targets[0].Connections = 2 }},
		{`path_prefix: must begin`, func(c *composer.Config) { c.Routes[0].PathPrefix = "/a/../b" }},
		{`path_prefix: must begin`, func(c *composer.Config) { c.Routes[0].PathPrefix = "/a//b" }},
		{`path_prefix: must begin`, func(c *composer.Config) { c.Routes[0].PathPrefix = "/a%2fb" }},
		{`path_prefix: "/stock" is already used by route "stock"`, func(c *composer.Config) { c.Routes[1].Methods = nil }},
		{`methods: "get" is not a method`, func(c *composer.Config) { c.Routes[0].Methods[0] = "get" }},
		{`methods: "GET" is a duplicate`, func(c *composer.Config) { c.Routes[0].Methods[0] = "GET" }},
		{`methods: GET is idempotent by definition`, func(c *composer.Config) { c.Routes[1].Methods = []string{"GET"} }},
		{`route "order": open: a route that is not idempotent needs a key`, func(c *composer.Config) { c.Routes[1].Open = true }},
		{`pool: "moon" is not a pool`, func(c *composer.Config) { c.Routes[0].Pool = "moon" }},
		{`deadline: must be positive`, func(c *composer.Config) { c.Routes[0].Deadline = 0 }},
		{`deadline: is shorter`, func(c *composer.Config) { c.Routes[0].Deadline = 1 }},
		{`account "a_b": name: must be of`, func(c *composer.Config) { c.Accounts[0].Name = "a_b" }},
		{`rate: must be above 0`, func(c *composer.Config) { c.Accounts[0].Rate = math.Inf(1) }},
		{`burst: must be at least 1`, func(c *composer.Config) { c.Accounts[0].Burst = 0.5 }},
		{`key "a_b": name: must be of`, func(c *composer.Config) { c.Accounts[0].Keys[0].Name = "a_b" }},
		{`digest: is missing`, func(c *composer.Config) { c.Accounts[0].Keys[0].Digest = [32]byte{} }},
		{`digest: is already the digest of key "maker-2/till"`, func(c *composer.Config) { c.Accounts[1].Keys[0].Digest = [32]byte{2} }},
		{`block "10.1.0.0/8": prefix: must be an address prefix`, func(c *composer.Config) { c.Blocks[0].Prefix = netip.MustParsePrefix("10.1.0.0/8") }},
		{`block "10.0.0.0/8": prefix: is a duplicate`, func(c *composer.Config) { c.Blocks[0].Prefix = c.Blocks[1].Prefix }},
		{`block "10.1.0.0/16": prefix: is a duplicate`, func(c *composer.Config) { c.Blocks = append(c.Blocks, c.Blocks[0]) }},
		{`region: "moon" is not a region`, func(c *composer.Config) { c.Blocks[0].Region = "moon" }},
		{`weight: must be at least 0`, func(c *composer.Config) { c.Blocks[0].Weight = -1 }},
		{`shift "to_east": to: must differ`, func(c *composer.Config) { c.Shifts[0].To = "west" }},
		{`from: "moon" is not a region`, func(c *composer.Config) { c.Shifts[0].From = "moon" }},
		{`share: must be above 0`, func(c *composer.Config) { c.Shifts[0].Share = 1.1 }},
		{`step: must be above 0`, func(c *composer.Config) { c.Shifts[0].Step = 0 }},
		{`cap: must be above 0`, func(c *composer.Config) { c.Shifts[0].Cap = 0 }},
		{`step_interval: must be positive`, func(c *composer.Config) { c.Shifts[0].StepInterval = 0 }},
		{`kind: "rack" is not one of`, func(c *composer.Config) { c.Drains[0].Kind = "rack" }},
		{`of: "moon" is not a target`, func(c *composer.Config) { c.Drains[0].Of = "moon" }},
		{`drain "repair": of: "moon" is not in the failure domains`, func(c *composer.Config) {
			c.Drains[0].Kind, c.Drains[0].Of = composer.DrainFailureDomain, "moon"
		}},
		{`of: "target stock_1" is a duplicate`, func(c *composer.Config) {
			c.Drains = append(c.Drains, composer.Drain{Name: "again", Kind: composer.DrainTarget, Of: "stock_1"})
		}},
	} {
		Convey(v.want, t, func() {
			c := sample()
			v.fault(&c)
			err := c.Check()
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, v.want)
		})
	}
	Convey("Several faults are reported together", t, func() {
		c := sample()
		c.Routes[0].Pool, c.Drains[0].Of, c.Accounts[0].Rate = "moon", "moon", -1
		So(composer.ProblemsOf(c.Check()), ShouldHaveLength, 3)
	})
}

// Guards against changes that a review cannot see, and against digests in logs.
func TestDiffNamesEveryChange(t *testing.T) {
	Convey("Equal configurations have no changes", t, func() {
		So(composer.Diff(sample(), sample()), ShouldBeEmpty)
	})
	Convey("Additions, removals and changed fields are lines", t, func() {
		b := sample()
		b.Accounts[0].Rate = 12
		b.Accounts[1].Keys[0].Digest[31] = 7
		b.Drains = nil
		b.Links = append(b.Links, composer.Link{From: "east", To: "west", Megabits: 280})
		b.Pools[0].Targets[1].Slots = 4
		var lines []string
		for _, v := range composer.Diff(sample(), b) {
			lines = append(lines, v.String())
		}
		So(lines, ShouldResemble, []string{
			"added link east -> west: megabits 280",
			"changed target stock_1: slots 3 -> 4",
			"changed account maker-2: rate 10 -> 12",
			"changed key maker-1/till: digest 01000000… -> 01000000…",
			"removed drain repair: kind target, of stock_1",
		})
	})
}

// Guards against a change that overloads a region without notice.
func TestWarnings(t *testing.T) {
	b := sample()
	b.Shifts[0].Cap = 10
	b.Pools[0].ServiceTime = 200 * time.Millisecond
	b.Drains = nil
	Convey("New overloads are named, old ones are not repeated", t, func() {
		So(composer.Warnings(sample(), sample()), ShouldBeEmpty)
		So(composer.Warnings(sample(), b), ShouldResemble, []string{
			`shift "to_east": its share of 0.5 moves 15.0 requests/s, but its cap of 10.0 stops it before`,
			`region "east": an expected load of 20.0 requests/s exceeds its capacity of 11.2`,
			`region "west": an expected load of 20.0 requests/s exceeds its capacity of 11.2`,
			`all regions: an expected load of 40.0 requests/s exceeds the capacity of 22.5`,
		})
	})
}

// Guards against secrets that name another account or do not match their digest.
func TestNewKey(t *testing.T) {
	name := rapid.StringMatching(`[a-z0-9][a-z0-9-]{0,63}`)
	rapid.Check(t, func(t *rapid.T) {
		account, key := name.Draw(t, "account"), name.Draw(t, "key")
		secret, k, err := composer.NewKey(account, key)
		if err != nil {
			t.Fatal(err)
		}
		a, n, ok := composer.SplitSecret(secret)
		if composer.MustKey(key, hex.EncodeToString(k.Digest[:])) != k {
			t.Fatal("the digest in hexadecimal is of another key")
		}
		if !ok || a != account || n != key || k.Name != key || k.Digest != composer.SecretDigest(secret) {
			t.Fatalf("secret of %s/%s splits into %s/%s, %t", account, key, a, n, ok)
		}
		if _, _, ok = composer.SplitSecret(secret[:len(secret)-1]); ok {
			t.Fatal("short secret accepted")
		}
	})
	Convey("Names that would make a secret ambiguous are refused", t, func() {
		for _, v := range []string{"", "a_b", "A", "-a", strings.Repeat("a", 65)} {
			_, _, err := composer.NewKey(v, "k")
			So(err, ShouldNotBeNil)
			_, _, err = composer.NewKey("a", v)
			So(err, ShouldNotBeNil)
		}
	})
	Convey("Keys are added to and taken from a copy", t, func() {
		c := sample()
		_, k, err := composer.NewKey("maker-1", "phone")
		So(err, ShouldBeNil)
		with, err := c.WithKey("maker-1", k)
		So(err, ShouldBeNil)
		So(c, ShouldResemble, sample())
		_, err = with.WithKey("maker-1", k)
		So(err, ShouldNotBeNil)
		without, err := with.WithoutKey("maker-1", "phone")
		So(err, ShouldBeNil)
		So(without, ShouldResemble, c.Canonical())
		_, err = c.WithoutKey("maker-1", "phone")
		So(err, ShouldNotBeNil)
		_, err = c.WithKey("nobody", k)
		So(err, ShouldNotBeNil)
	})
}

// Guards against panics on any text, and against text that reads back as another configuration.
func FuzzParse(f *testing.F) {
	text, err := composer.Encode(sample())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("[[shifts]]\nname = 'a'\nstart = 9999-12-31T23:59:59-23:59"))
	f.Add([]byte("[[pools.targets]]\naddress = '[fe80::1%a]:80'"))
	for _, s := range oddLines {
		f.Add([]byte("[[blocks]]\nprefix = '10.0.0.0/8'\n" + s + "\n[[blocks]]\nweight = 1.0\n[[drains]]\nname = 'a'"))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		sameAsWhole(t, in)
		a, err := composer.Parse(in)
		if err != nil {
			return
		}
		text, err := composer.Encode(a)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		b, err := composer.Parse(text)
		if err != nil {
			t.Fatalf("parse own text: %v\n%s", err, text)
		}
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("%+v became %+v", a, b)
		}
		// The results are not of interest here; neither may panic.
		_ = a.Check()
		_, _ = composer.Diff(composer.Config{}, a), composer.Warnings(composer.Config{}, a)
	})
}

// BenchmarkParse has the numbers of blocks of a small deployment and of the target size.
func BenchmarkParse(b *testing.B) {
	withBlocks(b, func(_ composer.Config, text []byte) {
		if _, err := composer.Parse(text); err != nil {
			b.Fatal(err)
		}
	})
}

// BenchmarkEncode and BenchmarkDiff have the sizes of BenchmarkParse.
func BenchmarkEncode(b *testing.B) {
	withBlocks(b, func(c composer.Config, _ []byte) {
		if _, err := composer.Encode(c); err != nil {
			b.Fatal(err)
		}
	})
}

func BenchmarkDiff(b *testing.B) {
	withBlocks(b, func(c composer.Config, _ []byte) {
		if n := len(composer.Diff(sample(), c)); n != len(c.Blocks)-2 {
			b.Fatal(n)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	withBlocks(b, func(c composer.Config, _ []byte) {
		if err := c.Check(); err != nil {
			b.Fatal(err)
		}
	})
}

func withBlocks(b *testing.B, f func(c composer.Config, text []byte)) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		c, text := manyBlocks(b, n)
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				f(c, text)
			}
		})
	}
}

// manyBlocks returns the sample with n more blocks in canonical order, and its text.
func manyBlocks(t testing.TB, n int) (composer.Config, []byte) {
	c := sample()
	for i := range n {
		a := netip.AddrFrom4([4]byte{100, byte(i >> 16), byte(i >> 8), byte(i)})
		c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.PrefixFrom(a, 32), Region: "west", Weight: 2})
	}
	text, err := composer.Encode(c)
	if err != nil {
		t.Fatal(err)
	}
	return c.Canonical(), text
}

// Guards against a target that has owners in two regions for a moment because it moved under its name.
func TestTargetKeepsItsRegion(t *testing.T) {
	a := composer.Config{
		Regions: []composer.Region{{Name: "north", FailureDomains: []string{"n1", "n2"}}, {Name: "south", FailureDomains: []string{"s1"}}},
		Pools:   []composer.Pool{{Name: "p", Targets: []composer.Target{{Name: "t", FailureDomain: "n1"}}}},
	}
	for d, ok := range map[string]bool{"n1": true, "n2": true, "s1": false} {
		b := a
		b.Pools = []composer.Pool{{Name: "p", Targets: []composer.Target{{Name: "t", FailureDomain: d}}}}
		if err := composer.CheckChange(a, b); (err == nil) != ok {
			t.Errorf("move to %s: %v", d, err)
		}
	}
}
