package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/responder"
)

// restingTarget ends connections without an answer if they rested longer than survives before a request.
type restingTarget struct {
	address  netip.AddrPort
	survives atomic.Int64
	dials    atomic.Int64
	// fails, if set, reports whether a request is lost on any connection.
	fails func() bool
}

func (r *restingTarget) serve(c net.Conn) {
	b := bufio.NewReader(c)
	for rested := time.Now(); ; rested = time.Now() {
		q, err := http.ReadRequest(b)
		if err != nil {
			break
		}
		forgotten := int64(time.Since(rested)) > r.survives.Load()
		time.Sleep(time.Millisecond)
		if forgotten || r.fails != nil && r.fails() {
			break
		}
		reply(c, q.URL.Path)
	}
	_ = c.Close()
}

// restingTargets returns targets whose connections survive any rest, and a forwarder to them.
func restingTargets(n int) ([]*restingTarget, *forwarder.Forwarder) {
	var targets []*restingTarget
	byAddress := map[netip.AddrPort]*restingTarget{}
	for i := range n {
		r := &restingTarget{address: netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:80", i+1))}
		r.survives.Store(int64(time.Hour))
		targets = append(targets, r)
		byAddress[r.address] = r
	}
	return targets, forwarder.New(forwarder.Config{
		IdleLimit: 4 * time.Second,
		Now:       time.Now,
		Dial: func(_ context.Context, a netip.AddrPort) (net.Conn, error) {
			c, s := net.Pipe()
			byAddress[a].dials.Add(1)
			go byAddress[a].serve(s)
			return c, nil
		},
	})
}

// sendAround sends requests to the targets in turn for a time and returns how many of them got no answer, by target.
func sendAround(t *testing.T, f *forwarder.Forwarder, targets []*restingTarget, pause, span time.Duration, once bool) []int {
	t.Helper()
	lost := make([]int, len(targets))
	for i := range int(span / pause) {
		r := targets[i%len(targets)]
		a, err := f.Do(t.Context(), forwarder.Call{Address: r.address, Request: get("/x"), Deadline: time.Now().Add(time.Second), Once: once})
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
		}
		if err != nil {
			lost[i%len(targets)]++
			var x *forwarder.Failure
			if !errors.As(err, &x) || x.Ran != responder.Unknown {
				t.Errorf("request on a connection that was forgotten: %v", err)
			}
		}
		time.Sleep(pause)
	}
	return lost
}

func dials(targets []*restingTarget) int {
	n := 0
	for _, r := range targets {
		n += int(r.dials.Load())
	}
	return n
}

func sum(a []int) int {
	n := 0
	for _, v := range a {
		n += v
	}
	return n
}

// Guards against requests that are lost one after another because targets forget connections that rested.
func TestForgottenConnectionsLoseFewRequests(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprintf("once=%t", once), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets, f := restingTargets(20)
				defer f.Close()
				if lost := sum(sendAround(t, f, targets, 20*time.Millisecond, 10*time.Second, once)); lost != 0 || dials(targets) > 20 {
					t.Fatalf("%d requests lost, %d connections", lost, dials(targets))
				}
				for _, r := range targets {
					r.survives.Store(int64(100 * time.Millisecond))
				}
				if lost := sum(sendAround(t, f, targets, 20*time.Millisecond, 20*time.Second, once)); lost > 20 {
					t.Errorf("%d of 1000 requests lost", lost)
				}
				for _, r := range targets {
					r.survives.Store(int64(time.Hour))
				}
				sendAround(t, f, targets, 20*time.Millisecond, 2*time.Minute, once)
				before := dials(targets)
				if lost := sum(sendAround(t, f, targets, 20*time.Millisecond, 20*time.Second, once)); lost > 0 || dials(targets)-before > 20 {
					t.Errorf("after the trouble: %d requests lost, %d connections for 1000 requests", lost, dials(targets)-before)
				}
			})
		})
	}
}

// Guards against new connections to all targets because one of them forgets its connections.
func TestOneForgetfulTargetCostsOthersNoConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, f := restingTargets(20)
		defer f.Close()
		targets[0].survives.Store(int64(100 * time.Millisecond))
		lost := 0
		for range 150 {
			var callers sync.WaitGroup
			var both [2][]int
			for i := range both {
				callers.Go(func() { both[i] = sendAround(t, f, targets[:1], 20*time.Millisecond, 20*time.Millisecond, true) })
			}
			callers.Wait()
			lost += sum(both[0]) + sum(both[1])
			if others := sum(sendAround(t, f, targets[1:], 20*time.Millisecond, 380*time.Millisecond, true)); others > 0 {
				t.Errorf("%d requests to other targets lost", others)
			}
		}
		if lost == 0 || lost > 30 {
			t.Errorf("%d of 300 requests lost", lost)
		}
		if n := dials(targets[1:]); n > len(targets) {
			t.Errorf("%d connections to other targets", n)
		}
	})
}

// Guards against new connections to all targets because requests are lost for other reasons than a rest.
func TestOtherLossesCostNoConnections(t *testing.T) {
	requests := 0
	for name, fails := range map[string]func(target int) bool{
		"some requests": func(int) bool { requests++; return requests%23 == 0 },
		"late":          func(int) bool { time.Sleep(9 * time.Millisecond); requests++; return requests%3 == 0 },
		"some targets":  func(target int) bool { return target%3 == 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets, f := restingTargets(20)
				defer f.Close()
				sendAround(t, f, targets, 20*time.Millisecond, time.Second, true)
				for i, r := range targets {
					r.fails = func() bool { return fails(i) }
				}
				before := dials(targets)
				lost := sum(sendAround(t, f, targets, 20*time.Millisecond, 20*time.Second, true))
				if n := dials(targets) - before; lost == 0 || n > lost+lost/10 {
					t.Errorf("%d connections for %d requests, of which %d were lost", n, 1000, lost)
				}
			})
		})
	}
}

// Guards against requests that cannot be sent again and that are lost as often as others.
func TestRequestsThatRunOnceAreLostLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, f := restingTargets(20)
		defer f.Close()
		for _, r := range targets {
			r.survives.Store(int64(100 * time.Millisecond))
		}
		lost := map[bool]int{}
		for range 300 {
			for _, once := range []bool{false, true} {
				lost[once] += sum(sendAround(t, f, targets, 20*time.Millisecond, 400*time.Millisecond, once))
			}
			f.Tick()
		}
		if lost[true] > lost[false]/4 {
			t.Errorf("%d requests lost that cannot be sent again, %d others", lost[true], lost[false])
		}
	})
}

// Guards against connections that are not reused although others survived longer rests.
func TestConnectionsAreReusedAfterRestsThatOthersSurvived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, f := restingTargets(20)
		defer f.Close()
		for _, r := range targets {
			r.survives.Store(int64(300 * time.Millisecond))
		}
		const rounds, requests = 20, 200
		for range rounds {
			sendAround(t, f, targets, 12*time.Millisecond, requests*12*time.Millisecond, false)
			time.Sleep(160 * time.Millisecond)
		}
		if n := dials(targets); n > rounds*requests/5 {
			t.Errorf("%d connections for %d requests", n, rounds*requests)
		}
	})
}
