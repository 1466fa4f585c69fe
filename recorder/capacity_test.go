package recorder_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// heads returns a heads row in which each of n instances is a member of its region and of the fleet.
func heads(n, regions int) recorder.Heads {
	h := recorder.Heads{ConfigVersion: 90_000, Assignments: map[string]recorder.Assignment{}, Shifts: map[string]recorder.ShiftStep{}}
	add := func(scope string, m recorder.Member) {
		a := h.Assignments[scope]
		a.Epoch = 10_000
		a.Members = append(a.Members, m)
		h.Assignments[scope] = a
	}
	for i := range n {
		r := fmt.Sprint("region-", i%regions)
		m := recorder.Member{Name: fmt.Sprintf("%s-instance-%03d", r, i), Incarnation: 1 << 60, Region: r, FailureDomain: fmt.Sprintf("%s_%d", r, i%4)}
		add(r, m)
		add("", m)
	}
	h.Shifts["dawn"] = recorder.ShiftStep{Step: 3, Time: time.Unix(1_800_000_000, 0).UTC()}
	return h
}

// BenchmarkHeads reports the size of the heads row and of the store's answer to a read of it, besides the time to
// decode the answer and the row.
func BenchmarkHeads(b *testing.B) {
	for _, s := range []struct{ instances, regions int }{{7, 3}, {20, 3}, {60, 5}, {120, 5}, {880, 10}} {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			v, err := heads(s.instances, s.regions).Encode()
			if err != nil {
				b.Fatal(err)
			}
			w, err := json.Marshal(storer.Rows{Rows: []storer.Row{{Key: recorder.HeadsKey, Version: 100_000, Value: v}}})
			if err != nil {
				b.Fatal(err)
			}
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

// BenchmarkReadUnchanged decodes the store's answer only, as an instance does when the row's version is known.
func BenchmarkReadUnchanged(b *testing.B) {
	for _, s := range []struct{ instances, regions int }{{7, 3}, {120, 5}, {880, 10}} {
		b.Run(fmt.Sprint(s.instances), func(b *testing.B) {
			v, err := heads(s.instances, s.regions).Encode()
			if err != nil {
				b.Fatal(err)
			}
			w, err := json.Marshal(storer.Rows{Rows: []storer.Row{{Key: recorder.HeadsKey, Version: 100_000, Value: v}}})
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				var r storer.Rows
				if err := json.Unmarshal(w, &r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
