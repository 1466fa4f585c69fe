package launcher_test

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/launcher"
	"celeryhead.dev/celeryhead/messenger"
)

// Guards P1 and P2: whatever callers send, no more than the cap of a shift runs in the region it moves to.
func TestShiftStaysUnderItsCap(t *testing.T) {
	checkShift(t, func(*system) { pause(6 * time.Second) })
}

// Guards P1 under two faults at once: instances that hold tokens of the shift, or give them out, are suspended one after
// another for longer than others wait for them, and the store loses replies.
func TestShiftStaysUnderItsCapWithSuspendedInstances(t *testing.T) {
	checkShift(t, func(s *system) {
		faults(s, emulator.Faults{LoseReplies: true})
		for k, i := range s.Instances {
			if k == 1 || k == 4 {
				// The callers of this test are at these two.
				continue
			}
			i.Process.Signal(syscall.SIGSTOP)
			pause(2500 * time.Millisecond)
			i.Process.Signal(syscall.SIGCONT)
			if k == 2 {
				faults(s, emulator.Faults{})
			}
		}
		pause(2 * time.Second)
	})
}

// checkShift shifts a block of which callers send several times the cap, while a fault lasts.
func checkShift(t *testing.T, during func(*system)) {
	t.Helper()
	const limit = 20
	s := start(t, launcher.Config{Edit: func(c *composer.Config) {
		quick(c)
		c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.MustParsePrefix("127.0.0.0/8"), Region: "almaty", Weight: 5})
		c.Shifts = []composer.Shift{{Name: "dawn", From: "almaty", To: "astana", Share: 1, Step: 1, StepInterval: time.Second, Cap: limit, Start: time.Unix(0, 0).UTC()}}
		// Only the block of this test moves: the others are too heavy for the cap.
		c.Blocks = slices.DeleteFunc(c.Blocks, func(b composer.Block) bool { return b.Region == "almaty" && b.Weight > 5 })
	}})
	o, err := s.OperatorClient(s.Instances[1])
	if err != nil {
		t.Fatal(err)
	}
	s.eventually(20*time.Second, func() bool {
		r, err := o.Status(t.Context(), &messenger.Empty{})
		return err == nil && len(r.Shifts) == 1 && r.Shifts[0].Share == 1
	})
	begin := time.Now()
	stop := s.callers(6, func(_ *rand.Rand, caller, _ int) []sending {
		i := s.Instances[1+3*(caller%2)]
		return []sending{s.send(i, order{method: http.MethodGet, path: "/permits/1", account: "almaty-markets"})}
	})
	during(s)
	all := stop()
	d := time.Since(begin)
	region := map[string]string{}
	for _, p := range s.Configuration.Pools {
		for _, k := range p.Targets {
			region[k.Name], _, _ = strings.Cut(k.FailureDomain, "_")
		}
	}
	n := map[string]int{}
	for _, r := range s.runs() {
		n[region[r.Target]]++
	}
	if n["astana"] > int(limit*d.Seconds())+limit {
		t.Errorf("%d requests ran in astana within %v, the cap is %d/s", n["astana"], d, limit)
	}
	if n["almaty"] == 0 {
		t.Errorf("requests over the cap did not run in their home region: %v", n)
	}
	t.Logf("%d requests in %v, runs by region: %v", len(all), d.Round(time.Second), n)
}
