package recorder_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// sampleHeads returns a heads row in which each of n instances is a member of its region and of the fleet.
func sampleHeads(n, regions int) recorder.Heads {
	h := recorder.Heads{ConfigVersion: 90_000, Assignments: map[string]recorder.Assignment{}, Shifts: map[string]recorder.ShiftStep{}}
	add := func(scope string, m recorder.Member) {
		a := h.Assignments[scope]
		a.Epoch = 10_000
		a.Members = append(a.Members, m)
		h.Assignments[scope] = a
	}
	incarnations := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // Not a secret.
	for i := range n {
		r := fmt.Sprint("region-", i%regions)
		m := recorder.Member{Name: fmt.Sprintf("%s-instance-%03d", r, i), Incarnation: incarnations.Uint64(), Region: r, FailureDomain: fmt.Sprintf("%s_%d", r, i%4)}
		add(r, m)
		add("", m)
	}
	h.Shifts["dawn"] = recorder.ShiftStep{Step: 3, Time: time.Unix(1_800_000_000, 0).UTC()}
	return h
}

// withMemberLists returns a copy of h that references the member list of each scope by its digest, and the chunked lists.
func withMemberLists(tb testing.TB, h recorder.Heads, s chunker.Sizes) (recorder.Heads, map[string]*chunker.Tree) {
	h = h.Clone()
	l := map[string]*chunker.Tree{}
	for n, a := range h.Assignments {
		b, err := recorder.EncodeMembers(a.Members)
		if err != nil {
			tb.Fatal(err)
		}
		l[n] = chunker.New(b, s)
		h.Assignments[n] = recorder.Assignment{Epoch: a.Epoch, Count: len(a.Members), Digest: recorder.Digest(l[n].Manifest.TextDigest)}
	}
	return h, l
}

type rowForm struct {
	name  string
	heads recorder.Heads
}

// rowForms returns the heads of n instances in both forms: with inline members and with digests of member lists.
func rowForms(tb testing.TB, n, regions int) []rowForm {
	h := sampleHeads(n, regions)
	d, _ := withMemberLists(tb, h, chunker.MemberSizes)
	return []rowForm{{"inline", h}, {"digest", d}}
}

// encodeRead returns the encoded row and the JSON response of the store to a read of it.
func encodeRead(tb testing.TB, h recorder.Heads) (row, read []byte) {
	v, err := h.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	w, err := json.Marshal(storer.Rows{Rows: []storer.Row{{Key: recorder.HeadsKey, Version: 100_000, Value: v}}})
	if err != nil {
		tb.Fatal(err)
	}
	return v, w
}

var fleetSizes = []struct{ instances, regions int }{{7, 3}, {20, 3}, {60, 5}, {120, 5}, {880, 10}}

// Guards against a heads row that is so large that reading it alone uses the 3 KB/s allowed for a daemon's control traffic.
// One instance per failure domain reads the row once per second (design, sections 1.7 and 2.7).
func TestReadFitsTheTarget(t *testing.T) {
	const limit = 3_000
	for _, s := range fleetSizes {
		if _, read := encodeRead(t, rowForms(t, s.instances, s.regions)[1].heads); len(read) > limit {
			t.Errorf("%d instances: a read takes %d bytes, the limit is %d", s.instances, len(read), limit)
		}
	}
}

// BenchmarkHeads measures decoding the store's response and the row in both forms, and reports their sizes.
func BenchmarkHeads(b *testing.B) {
	for _, s := range fleetSizes {
		for _, f := range rowForms(b, s.instances, s.regions) {
			b.Run(fmt.Sprintf("%s/%d", f.name, s.instances), func(b *testing.B) {
				v, w := encodeRead(b, f.heads)
				b.ReportAllocs()
				for b.Loop() {
					var r storer.Rows
					if err := json.Unmarshal(w, &r); err != nil {
						b.Fatal(err)
					}
					if _, err := recorder.DecodeHeads(r.Rows[0].Value); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(v)), "B/row")
				b.ReportMetric(float64(len(w)), "B/read")
			})
		}
	}
}

// BenchmarkReadUnchanged measures decoding only the store's response, as when the row version has not changed.
func BenchmarkReadUnchanged(b *testing.B) {
	for _, s := range fleetSizes {
		for _, f := range rowForms(b, s.instances, s.regions) {
			b.Run(fmt.Sprintf("%s/%d", f.name, s.instances), func(b *testing.B) {
				_, w := encodeRead(b, f.heads)
				b.ReportAllocs()
				for b.Loop() {
					var r storer.Rows
					if err := json.Unmarshal(w, &r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkMembers measures decoding the member list of the whole fleet, as after a change of a member.
func BenchmarkMembers(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			h, l := withMemberLists(b, sampleHeads(s.instances, s.regions), chunker.MemberSizes)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := h.Assignments[""].WithMembers(l[""].Text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(l[""].Text)), "B/list")
		})
	}
}

// BenchmarkMemberChange reports the cost of changing one member in the lists of its region and of the fleet for various
// chunk sizes: the mean size of the new manifests and chunks over 20 changes, and the rows of a new deployment.
func BenchmarkMemberChange(b *testing.B) {
	for _, s := range fleetSizes {
		for _, mean := range []int{512, 1 << 10, 2 << 10, 4 << 10, 8 << 10} {
			b.Run(fmt.Sprintf("%d/%d", s.instances, mean), func(b *testing.B) {
				sizes := chunker.Sizes{Min: max(64, mean/4), Mean: mean, Max: 4 * mean}
				var bytes, rows int
				for b.Loop() {
					bytes, rows = measureChanges(b, s.instances, s.regions, sizes)
				}
				b.ReportMetric(float64(bytes)/20, "B/change")
				b.ReportMetric(float64(rows), "rows")
			})
		}
	}
}

func measureChanges(b *testing.B, instances, regions int, s chunker.Sizes) (bytes, rows int) {
	old := sampleHeads(instances, regions)
	_, before := withMemberLists(b, old, s)
	for _, t := range before {
		for range t.Chunks() {
			rows++
		}
	}
	for i := range 20 {
		h := old.Clone()
		m := old.Assignments[""].Members[i*instances/20]
		for _, n := range []string{"", m.Region} {
			a := h.Assignments[n]
			a.Members = slices.Clone(a.Members)
			k := slices.Index(a.Members, m)
			if i%2 == 0 {
				a.Members = slices.Delete(a.Members, k, k+1)
			} else {
				a.Members[k].Incarnation += uint64(i)
			}
			h.Assignments[n] = a
		}
		_, after := withMemberLists(b, h, s)
		for _, n := range []string{"", m.Region} {
			v, err := after[n].Manifest.Encode()
			if err != nil {
				b.Fatal(err)
			}
			bytes += len(v)
			for c, t := range after[n].Chunks() {
				if _, ok := before[n].Chunk(c); !ok {
					bytes += len(t)
				}
			}
		}
	}
	return bytes, rows
}
