package meter_test

import (
	"bytes"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/responder"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func TestMeter(t *testing.T) {
	Convey("Given a meter that saw one request of each kind", t, func() {
		m := meter.New()
		observe := func(reason responder.Reason, admitted bool) {
			r := meter.Request{Route: "map", Account: "koshe", Duration: 20 * time.Millisecond, Admitted: admitted}
			if reason != "" {
				r.Refusal = &responder.Refusal{Reason: reason, Ran: responder.NotRun}
			}
			m.Observe(r, now)
		}
		observe("", true)
		observe(responder.RateExceeded, false)
		observe(responder.NoSlot, true)
		observe(responder.NoOwner, false)
		observe(responder.KeyInvalid, false)
		m.Lookup()
		m.Retry()
		m.TargetDrained("pitch", time.Second)
		var b bytes.Buffer
		m.Write(&b, meter.State{
			Pools:      map[string]meter.Pool{"pitch": {Slots: 3, Free: 1}},
			ProofAges:  map[string]time.Duration{"fleet": time.Second},
			ShiftSteps: map[string]int{"dawn": 2},

			CertificateExpiries: map[string]time.Duration{"peer": time.Hour},
		})

		Convey("refusals within the rate are told from those over it", func() {
			a := m.Accounts()
			So(a, ShouldHaveLength, 1)
			So(a[0].Admitted, ShouldEqual, 1)
			So(a[0].OverRate, ShouldEqual, 1)
			So(a[0].WithinRate, ShouldEqual, 2)
			So(a[0].P99, ShouldBeBetween, 19*time.Millisecond, 21*time.Millisecond)
		})

		Convey("every metric of the catalogue is written, and no other", func() {
			got := map[string]bool{}
			for _, n := range regexp.MustCompile(`(?m)^celeryhead_[a-z_]+`).FindAllString(b.String(), -1) {
				n = strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(n, "_bucket"), "_sum"), "_count")
				got[n] = true
			}
			for _, k := range meter.Catalogue() {
				So(got, ShouldContainKey, k.Name)
				delete(got, k.Name)
			}
			So(got, ShouldBeEmpty)
		})

		Convey("docs/metrics.md lists the catalogue, and no other metric", func() {
			p, err := os.ReadFile("../docs/metrics.md")
			So(err, ShouldBeNil)
			rows := map[string]bool{}
			for l := range strings.Lines(string(p)) {
				if strings.HasPrefix(l, "| celeryhead_") {
					c := strings.Split(l, "|")
					rows[strings.TrimSpace(c[1])+"|"+strings.TrimSpace(c[2])+"|"+strings.TrimSpace(c[3])+"|"+strings.TrimSpace(c[4])] = true
					So(strings.TrimSpace(c[5]), ShouldNotBeBlank)
				}
			}
			for _, k := range meter.Catalogue() {
				r := k.Name + "|" + string(k.Kind) + "|" + k.Unit + "|" + k.Labels
				So(rows, ShouldContainKey, r)
				delete(rows, r)
			}
			So(rows, ShouldBeEmpty)
		})
	})
}

func BenchmarkObserve(b *testing.B) {
	m := meter.New()
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(meter.Request{Route: "map", Account: "koshe", Duration: time.Millisecond}, now)
	}
}
