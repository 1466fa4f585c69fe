package launcher_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/launcher"
)

var drillTime = flag.Duration("drill", 30*time.Second, "how long the drill brings about faults")

// rotation issues keys of one account and withdraws them, while callers go on with the old ones.
type rotation struct {
	mu      sync.Mutex
	secrets []string
	// withdrawn is when the command that withdrew a key had returned.
	withdrawn []time.Time
}

const rotatedAccount = "craft-fairs"

// rotate issues and withdraws keys until stop is closed.
func (k *rotation) rotate(s *system, stop <-chan struct{}) {
	for n := 0; !closed(stop); n++ {
		name, secret, ok := s.issue(n, stop)
		if !ok {
			return
		}
		k.mu.Lock()
		k.secrets = append(k.secrets, secret)
		k.withdrawn = append(k.withdrawn, time.Time{})
		k.mu.Unlock()
		pause(2 * time.Second)
		if !s.repeat(stop, func() bool {
			_, code := s.operate("key", "withdraw", rotatedAccount, name, "--reason", "drill")
			return code == 0 || code == 4
		}) {
			return
		}
		k.mu.Lock()
		k.withdrawn[n] = time.Now()
		k.mu.Unlock()
	}
}

// issue issues a key, under another name after each failure; false if stop was closed first.
func (s *system) issue(n int, stop <-chan struct{}) (name, secret string, ok bool) {
	tries := 0
	ok = s.repeat(stop, func() bool {
		tries++
		name = fmt.Sprintf("rotated-%d-%d", n, tries)
		out, _ := s.operate("key", "issue", rotatedAccount, name, "--reason", "drill")
		for _, l := range strings.Fields(out) {
			if a, k, ok := composer.SplitSecret(l); ok && a == rotatedAccount && k == name {
				secret = l
				return true
			}
		}
		return false
	})
	return name, secret, ok
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// repeat calls f until it succeeds; false if stop was closed first.
func (s *system) repeat(stop <-chan struct{}, f func() bool) bool {
	for !f() {
		select {
		case <-stop:
			return false
		case <-time.After(200 * time.Millisecond):
		}
	}
	return true
}

// read sends a request with one of the latest keys, withdrawn or not.
func (k *rotation) read(s *system, r *rand.Rand, id string) []sending {
	k.mu.Lock()
	n := len(k.secrets) - 1 - r.IntN(4)
	if n < 0 {
		k.mu.Unlock()
		pause(50 * time.Millisecond)
		return nil
	}
	defer pause(20 * time.Millisecond)
	h := http.Header{"Authorization": {"Bearer " + k.secrets[n]}}
	k.mu.Unlock()
	return []sending{s.send(s.pick(r), order{method: http.MethodGet, path: "/permits/1", header: h, key: fmt.Sprintf("rotated-%d-%s", n, id)})}
}

// check requires that no request with a withdrawn key started later than the bound allows.
func (k *rotation) check(s *system) {
	s.t.Helper()
	late := 0
	for _, r := range s.runs() {
		m, ok := strings.CutPrefix(r.Request, "rotated-")
		if !ok {
			continue
		}
		g, _, _ := strings.Cut(m, "-")
		n, err := strconv.Atoi(g)
		if err != nil {
			s.t.Fatal(err)
		}
		w := k.withdrawn[n]
		if !w.IsZero() && r.Start.After(w.Add(inForce)) {
			s.t.Errorf("%s started %v after its key was withdrawn", r.Request, r.Start.Sub(w))
		}
		if !w.IsZero() && r.Start.After(w) {
			late++
		}
	}
	s.t.Logf("%d keys; %d requests started within %v after the withdrawal of theirs was accepted", len(k.secrets), late, inForce)
}

// Guards every promise that can be read off the ledgers of the targets and the answers of the callers, under faults drawn
// at random, three at a time: processes killed, suspended and replaced, the store down, slow or silent, with lost replies,
// the list silent, targets that drain, fail, lie, truncate answers or let connections go silent. Guards also against a
// fleet that does not return to full service.
func TestDrill(t *testing.T) {
	s := start(t, launcher.Config{})
	k := &rotation{}
	end := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() { k.rotate(s, end) })
	book := s.callers(6, func(r *rand.Rand, caller, count int) []sending {
		return s.book(r, fmt.Sprintf("booking-%d-%d", caller, count), 5)
	})
	read := s.callers(4, func(r *rand.Rand, caller, count int) []sending {
		return k.read(s, r, fmt.Sprintf("%d-%d", caller, count))
	})
	n, err := s.Drill(t.Context(), launcher.DrillConfig{Seed: *seed, Duration: *drillTime, Note: func(now time.Time, f string) {
		t.Log(now.UTC().Format("15:04:05.000"), f)
	}})
	if err != nil {
		t.Error(err)
	}
	close(end)
	g.Wait()
	all := append(book(), read()...)
	b := time.Now()
	x, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if err := s.Ready(x, 1, "pitch_map", "booking_desk", "fee_ledger"); err != nil {
		t.Errorf("full service has not returned: %v", err)
	}
	t.Logf("%d faults; full service %v after the last one", n, time.Since(b).Round(time.Millisecond))
	for c := range 50 {
		if a := s.send(s.Instances[c%7], order{method: http.MethodGet, path: "/permits/1", account: "almaty-markets"}); !a.answered() {
			t.Error(a)
		}
		pause(20 * time.Millisecond)
	}
	for n, secret := range k.secrets {
		// The logs must not hold these keys either.
		s.Secrets[fmt.Sprintf("rotated-%d", n)] = secret
	}
	s.checkOnce(all)
	k.check(s)
}
