package exemplifier_test

import (
	"bytes"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/exemplifier"
)

var deployments = map[string]func(exemplifier.Settings) composer.Config{
	"koshe":  exemplifier.Koshe,
	"esbatu": exemplifier.EsBatu,
}

func printed(c composer.Config) []byte {
	var b bytes.Buffer
	So(composer.Print(&b, c), ShouldBeNil)
	return b.Bytes()
}

// Guards against examples that are refused, overloaded, or print other bytes on the second run.
func TestDeployments(t *testing.T) {
	for name, build := range deployments {
		Convey(name+" has the sizes of the design and prints the same bytes twice", t, func() {
			c := build(exemplifier.Settings{})
			So(printed(c), ShouldResemble, printed(build(exemplifier.Settings{})))
			So(composer.Warnings(composer.Config{}, c), ShouldBeEmpty)
			So(c.Regions, ShouldHaveLength, 3)
			So(c.Links, ShouldHaveLength, 6)
			So(c.Accounts, ShouldHaveLength, 8)
			domains := map[string]int{}
			var sizes []int
			for _, p := range c.Pools {
				sizes = append(sizes, len(p.Targets))
				for _, v := range p.Targets {
					domains[v.FailureDomain]++
				}
			}
			So(sizes, ShouldResemble, []int{16, 12, 12})
			So(domains, ShouldHaveLength, 6)
			for _, n := range domains {
				So(n, ShouldBeBetweenOrEqual, 6, 7)
			}
		})
		Convey(name+" takes addresses and keys of a trial", t, func() {
			c := build(exemplifier.Settings{})
			target, a := c.Pools[0].Targets[0].Name, c.Accounts[0].Name
			address := netip.MustParseAddrPort("127.0.0.1:4001")
			d := build(exemplifier.Settings{
				Addresses: map[string]netip.AddrPort{target: address},
				Digests:   map[string][32]byte{a + "/first": {1}},
			})
			So(d.Check(), ShouldBeNil)
			So(d.Pools[0].Targets[0].Address, ShouldResemble, address)
			So(d.Accounts[0].Keys[0].Digest, ShouldResemble, [32]byte{1})
			So(composer.Diff(c, d), ShouldHaveLength, 2)
		})
	}
}
