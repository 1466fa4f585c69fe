package launcher_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/launcher"
	"celeryhead.dev/celeryhead/messenger"
)

// renewed is the bound for new certificate files: two intervals at which they are read.
const renewed = 10 * time.Second

// Guards the answer to a stolen peer key, a new authority: it is replaced step by step while traffic runs, no request is
// refused or cut, and afterwards a holder of a former certificate is refused.
func TestAuthorityIsReplacedUnderLoad(t *testing.T) {
	s := start(t, launcher.Config{Instances: 3})
	former, err := s.OperatorClient(s.Instances[0])
	if err != nil {
		t.Fatal(err)
	}
	// This connection stays open, so that it was accepted before the replacement.
	if _, err := former.Status(t.Context(), &messenger.Empty{}); err != nil {
		t.Fatal(err)
	}
	stop := s.callers(4, func(r *rand.Rand, caller, count int) []sending {
		pause(40 * time.Millisecond)
		k := fmt.Sprintf("renewal-%d-%d", caller, count)
		return []sending{s.send(s.pick(r), order{method: http.MethodGet, path: "/permits/1", account: "almaty-markets", key: k})}
	})
	first := s.Authority
	second, err := launcher.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []func() error{
		func() error { return s.Trust(first, second) },
		func() error { return s.Certify(second) },
		func() error { return s.Trust(second) },
	} {
		before := s.renewals()
		if err := step(); err != nil {
			t.Fatal(err)
		}
		s.eventually(renewed, func() bool {
			for i, n := range s.renewals() {
				if n == before[i] {
					return false
				}
			}
			return true
		})
	}
	pause(time.Second)
	if _, err := former.Status(t.Context(), &messenger.Empty{}); err == nil {
		t.Error("a certificate of the former authority is still accepted")
	}
	if err := s.Ready(t.Context(), 1); err != nil {
		t.Error(err)
	}
	s.expect("during the replacement", stop(), anyKind, whole)
}

// renewals returns how often each daemon has logged that it uses new certificates.
func (s *system) renewals() []int {
	r := make([]int, len(s.Instances))
	for i, k := range s.Instances {
		r[i] = strings.Count(s.Log(k.Name), `"event":1006`)
	}
	return r
}
