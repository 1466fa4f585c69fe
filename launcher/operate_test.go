package launcher_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/launcher"
	"celeryhead.dev/celeryhead/messenger"
)

// operate runs the operators' command against the deployment and returns its output and exit code.
func (s *system) operate(args ...string) (string, int) {
	s.t.Helper()
	return s.operateAt(s.Instances, args...)
}

// operateAt runs the operators' command with the named instances as its servers.
func (s *system) operateAt(at []*launcher.Instance, args ...string) (string, int) {
	s.t.Helper()
	a := []string{"--ca", s.Operator.Authority, "--cert", s.Operator.Certificate, "--key", s.Operator.Key}
	for _, i := range at {
		a = append(a, "--server", i.Operators.String())
	}
	c := exec.Command(filepath.Join(bin, "celeryhead"), append(a, args...)...)
	var b bytes.Buffer
	c.Stdout, c.Stderr = &b, &b
	err := c.Run()
	var x *exec.ExitError
	if err != nil && !errors.As(err, &x) {
		s.t.Fatal(err)
	}
	return b.String(), c.ProcessState.ExitCode()
}

// change edits the configuration and applies it.
func (s *system) change(reason string, edit func(*composer.Config)) {
	s.t.Helper()
	edit(&s.Configuration)
	var b bytes.Buffer
	if err := composer.Print(&b, s.Configuration); err != nil {
		s.t.Fatal(err)
	}
	p := filepath.Join(s.dir, "change.toml")
	if err := os.WriteFile(p, b.Bytes(), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if out, code := s.operate("apply", p, "--reason", reason); code != 0 {
		s.t.Fatalf("apply: exit code %d: %s", code, out)
	}
}

// ticket asks an instance for a ticket.
func (s *system) ticket(i *launcher.Instance) string {
	s.t.Helper()
	k, a := s.tryTicket(i)
	if k == "" {
		s.t.Fatalf("ticket: %v: %s", a, a.body)
	}
	return k
}

// tryTicket asks an instance for a ticket, which is empty if the instance issued none.
func (s *system) tryTicket(i *launcher.Instance) (string, sending) {
	a := s.send(i, order{method: http.MethodPost, path: "/v1/tickets", account: "almaty-markets"})
	var k struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal([]byte(a.body), &k); err != nil {
		return "", a
	}
	return k.Ticket, a
}

// follow reads through the first instance of a look-up answer; the answer is used once.
func (s *system) follow(r *rand.Rand, id string) []sending {
	var l struct {
		Instances []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"instances"`
	}
	a := s.send(s.pick(r), order{method: http.MethodGet, path: fmt.Sprintf("/v1/lookup?address=10.%d.%d.1", 1+r.IntN(3), 1+r.IntN(8))})
	if a.err != nil || a.status != http.StatusOK {
		// The instance that was asked is gone or has just started; the caller asks another one.
		return nil
	}
	if err := json.Unmarshal([]byte(a.body), &l); err != nil || len(l.Instances) == 0 {
		s.t.Errorf("look-up: %v: %s", a, a.body)
		return nil
	}
	i := s.ByAddress(l.Instances[0].Address)
	return []sending{s.send(i, order{method: http.MethodGet, path: "/permits/1?repeat=200", account: "almaty-markets", key: id})}
}

// Guards the operators' command against the running system: what it says must be what the instances do.
func TestOperatorsCommand(t *testing.T) {
	s := start(t, launcher.Config{})
	file := filepath.Join(s.dir, "configuration.toml")
	Convey("Given a running deployment with version 1", t, func() {
		Convey("an operator's commands work one after another", func() {
			_, code := s.operate("check", file)
			So(code, ShouldEqual, 0)
			out, code := s.operate("status")
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, s.Instances[6].Name)
			out, code = s.operate("key", "issue", "winter-fair", "second", "--reason", "new stall")
			So(code, ShouldEqual, 0)
			secret := ""
			for f := range strings.FieldsSeq(out) {
				if strings.HasPrefix(f, "ch_winter-fair_second_") {
					secret = f
				}
			}
			So(secret, ShouldNotBeBlank)
			for _, i := range s.Instances {
				a := s.send(i, order{method: http.MethodGet, path: "/permits/1", header: http.Header{"X-Api-Key": {secret}}})
				So(a.reason, ShouldNotEqual, "key_invalid")
			}
			_, code = s.operate("key", "withdraw", "winter-fair", "second", "--reason", "stall closed")
			So(code, ShouldEqual, 0)
			for _, i := range s.Instances {
				a := s.send(i, order{method: http.MethodGet, path: "/permits/1", header: http.Header{"X-Api-Key": {secret}}})
				So(a.reason, ShouldEqual, "key_invalid")
			}
			_, code = s.operate("plan", file)
			So(code, ShouldEqual, 0)
			_, code = s.operate("rollback", "2", "--restore-keys", "--reason", "practice")
			So(code, ShouldEqual, 0)
			out, code = s.operate("audit", "--json")
			So(code, ShouldEqual, 0)
			for _, w := range []string{"new stall", "stall closed", "practice", "key_withdraw", "demo"} {
				So(w, ShouldBeIn, found(out, w))
			}
			So(strings.Contains(out, secret), ShouldBeFalse)
			_, code = s.operate("check", filepath.Join(s.dir, "authority.pem"))
			So(code, ShouldEqual, 1)
		})
	})
}

// Guards P12 with a configuration of many chunks: a change of one block is in force within the target's 7 s, and an
// instance that starts while the store is down gets the whole of it from its peers.
func TestManyBlocksInForce(t *testing.T) {
	const blocks = 8_000
	s := start(t, launcher.Config{})
	s.change("many blocks", func(c *composer.Config) {
		for i := range blocks {
			a := netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)})
			c.Blocks = append(c.Blocks, composer.Block{Prefix: netip.PrefixFrom(a, 32), Region: c.Regions[0].Name, Weight: 0.001})
		}
	})
	begin := time.Now()
	s.change("one block", func(c *composer.Config) { c.Blocks[len(c.Blocks)-blocks/2].Weight = 0.002 })
	if d := time.Since(begin); d > inForce {
		t.Errorf("a change of one block was in force after %v", d)
	} else {
		t.Logf("a change of one block was in force after %v", d)
	}
	faults(s, emulator.Faults{Down: true})
	i := s.Instances[5]
	i.Process.Kill()
	if err := s.StartInstance(i); err != nil {
		t.Fatal(err)
	}
	o, err := s.OperatorClient(i)
	if err != nil {
		t.Fatal(err)
	}
	s.eventually(20*time.Second, func() bool {
		r, err := o.Status(t.Context(), &messenger.Empty{})
		return err == nil && r.ConfigVersion == 3
	})
}

// found returns the words that out holds, so that a failure does not print all of out.
func found(out string, words ...string) []string {
	return slices.DeleteFunc(words, func(w string) bool { return !strings.Contains(out, w) })
}

// Guards the listeners of peers and operators against strangers.
func TestStrangersGetNothing(t *testing.T) {
	s := start(t, launcher.Config{Instances: 3})
	i := s.Instances[0]
	for _, a := range []netip.AddrPort{i.Peers, i.Operators} {
		for _, scheme := range []string{"http", "https"} {
			p, err := s.client.Get(scheme + "://" + a.String() + "/twirp/celeryhead.messenger.Operator/Status")
			if err == nil {
				_ = p.Body.Close()
				if p.StatusCode < http.StatusBadRequest {
					t.Errorf("%s://%v answered a stranger with status %d", scheme, a, p.StatusCode)
				}
			}
		}
	}
}
