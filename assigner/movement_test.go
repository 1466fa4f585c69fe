package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/assigner"
)

func fleet(n int) []assigner.Member {
	var r []assigner.Member
	for i := range n {
		r = append(r, assigner.Member{Name: fmt.Sprint("instance-", i), Incarnation: 1, FailureDomain: fmt.Sprint("d", i%6)})
	}
	return r
}

// Guards against moves of resources other than those that the replaced instance owned or its
// replacement owns; logs the table of docs/measurements.d/membership.md.
func TestMovement(t *testing.T) {
	const count = 5_000
	for _, n := range []int{7, 20, 60, 120, 880} {
		before, after := fleet(n), fleet(n)
		after[n/2].Name = "replacement"
		moved, needless, most := 0, 0, map[string]int{}
		for i := range count {
			r := fmt.Sprint("target-", i)
			x, _ := assigner.Owner(r, before)
			y, _ := assigner.Owner(r, after)
			most[y.Name]++
			if x.Name == y.Name {
				continue
			}
			moved++
			if x.Name != before[n/2].Name && y.Name != "replacement" {
				needless++
			}
		}
		largest := 0
		for _, v := range most {
			largest = max(largest, v)
		}
		share := float64(moved) / count
		// A replacement moves 1/n of the resources away and attracts 1/n; the two shares overlap by at most 1/n squared.
		t.Logf("%4d instances: moved %.4f, ideal %.4f to %.4f, needless %d, largest/mean %.2f",
			n, share, 1/float64(n), 2/float64(n), needless, float64(largest)*float64(n)/count)
		if needless > 0 {
			t.Errorf("%d instances: %d resources moved between instances that remained", n, needless)
		}
	}
}

func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{7, 20, 60, 120, 880} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ms := fleet(n)
			for b.Loop() {
				assigner.Owner("target-1", ms)
			}
		})
	}
}

// BenchmarkAdopt measures the adoption of a new assignment with 140 resources in one scope.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{7, 20, 60, 120, 880} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ms := fleet(n)
			a := assigner.New(assigner.Config{Self: ms[0], LargestDeadline: time.Second})
			var rs []assigner.Resource
			for i := range 140 {
				rs = append(rs, assigner.Resource{Name: fmt.Sprint("t", i), Scope: "a"})
			}
			a.SetResources(start, rs)
			for v := uint64(1); b.Loop(); v++ {
				a.Adopt(start, assigner.Heads{Version: v, Scopes: map[string]assigner.Assignment{"a": {Epoch: v, Members: ms[v%2:]}}})
			}
		})
	}
}
