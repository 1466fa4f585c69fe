package launcher_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/launcher"
	"celeryhead.dev/celeryhead/platform/imitator"
)

// sparedTime bounds the time for which all targets are spared after broken answers.
const sparedTime = 20 * time.Second

// Guards against a broken answer of a target that a caller gets as a whole one, through its owner or another instance, and against
// refusals with a false promise.
func TestBrokenAnswersOfOwnTargets(t *testing.T) {
	s := start(t, launcher.Config{Instances: 3})
	cut, fields := imitator.CutAnswers(), append(imitator.BadFields("ok"), imitator.FoldedFields()...)
	others := slices.Concat(imitator.BadStatuses(), imitator.BadFieldsElsewhere())
	k := imitator.NewBrokenTarget(slices.Concat(cut, fields, others))
	for i, p := range s.Configuration.Pools {
		s.Pools[i].Kill()
		for _, g := range p.Targets {
			l, err := net.Listen("tcp", g.Address.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go k.Serve(l)
		}
	}
	account := "Authorization: Bearer " + s.Secrets["almaty-markets"] + "\r\n"
	for _, c := range []struct {
		method, path, fields string
		answers              []imitator.BrokenAnswer
		// first is the index of the first answer.
		first int
		ended <-chan struct{}
	}{
		{http.MethodPost, "/bookings", account + "Content-Length: 60000000\r\n", cut, 0, k.Ended},
		{http.MethodGet, "/pitches", "Transfer-Encoding: chunked\r\n", cut, 0, k.Ended},
		{http.MethodPost, "/bookings", account + "Content-Length: 0\r\n", others, len(cut) + len(fields), nil},
		{http.MethodGet, "/pitches", "", fields, len(cut), nil},
	} {
		for i, a := range c.answers {
			path := fmt.Sprintf("%s/%s/%d", c.path, c.method, c.first+i)
			var g imitator.ReceivedAnswer
			tries := 0
			s.eventually(sparedTime, func() bool {
				tries++
				fields := fmt.Sprintf("Host: ice.example\r\nIdempotency-Key: %s-%d\r\n%s", path, tries, c.fields)
				g = s.exchange(c.method, path, fields, c.ended)
				return k.Arrived(path) > 0
			})
			if err := a.Check(g, k.Arrived(path), true); err != nil {
				t.Errorf("%s, %s: %v", a.Name, path, err)
			}
		}
	}
}

// exchange sends a request to the first instance.
func (s *system) exchange(method, path, fields string, ended <-chan struct{}) imitator.ReceivedAnswer {
	s.t.Helper()
	c, err := net.Dial("tcp", s.Instances[0].Callers.String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return imitator.Exchange(c, method, path, "1.1", fields, ended)
}
