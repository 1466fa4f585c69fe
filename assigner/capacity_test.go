package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/assigner"
)

// BenchmarkAdoptBuckets measures the adoption of a new assignment of n instances with two bucket parts per account.
func BenchmarkAdoptBuckets(b *testing.B) {
	for _, n := range []int{7, 120, 880} {
		for _, accounts := range []int{8, 80, 800} {
			b.Run(fmt.Sprintf("%d/%d", n, accounts), func(b *testing.B) {
				ms := fleet(n)
				a := assigner.New(assigner.Config{Self: ms[0], LargestDeadline: time.Second})
				var rs []assigner.Resource
				for i := range accounts {
					for p := 1; p <= 2; p++ {
						rs = append(rs, assigner.Resource{Name: fmt.Sprint("bucket/account-", i), Scope: assigner.FleetScope, Part: p})
					}
				}
				a.SetResources(start, rs)
				for v := uint64(1); b.Loop(); v++ {
					a.Adopt(start, assigner.Heads{Version: v, Scopes: map[string]assigner.Assignment{assigner.FleetScope: {Epoch: v, Members: ms[v%2:]}}})
				}
			})
		}
	}
}

// BenchmarkAssignerTick measures a tick followed by one ownership query for each resource, as an instance does.
func BenchmarkAssignerTick(b *testing.B) {
	for _, n := range []int{140, 1_740} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ms := fleet(88)
			a := assigner.New(assigner.Config{Self: ms[0], LargestDeadline: time.Second})
			var rs []assigner.Resource
			for i := range n {
				rs = append(rs, assigner.Resource{Name: fmt.Sprint("t", i), Scope: "a"})
			}
			a.SetResources(start, rs)
			a.Adopt(start, assigner.Heads{Version: 1, Scopes: map[string]assigner.Assignment{"a": {Epoch: 1, Members: ms}}})
			for b.Loop() {
				a.Tick(start, true, true)
				for _, r := range rs {
					a.MayAct(r)
					a.Owner(r)
				}
			}
		})
	}
}
