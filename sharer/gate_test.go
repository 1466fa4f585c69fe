package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/sharer"
)

// Guards against several instances that send to the same cold target and exceed its rate.
func TestGateHasOneSender(t *testing.T) {
	var names []string
	var gs []*sharer.Gate
	for i := range 7 {
		names = append(names, fmt.Sprintf("instance-%d", i))
		gs = append(gs, sharer.NewGate(names[i]))
	}
	for _, g := range gs {
		g.Adopt(names)
	}
	const rate = 2.9
	for _, target := range []string{"a", "b", "c"} {
		sent := 0
		for ms := range 3000 {
			for _, g := range gs {
				if g.Take(start.Add(time.Duration(ms)*time.Millisecond), target, rate) {
					sent++
				}
			}
		}
		if want := 3 * rate; float64(sent) > want+1 || sent == 0 {
			t.Errorf("target %s got %d requests in 3 s at %.1f a second", target, sent, rate)
		}
	}
}

// Guards against an instance without a list of instances that considers itself the sender.
func TestGateIsInitiallyClosed(t *testing.T) {
	if sharer.NewGate("a").Take(start.Add(time.Hour), "target", 10) {
		t.Error("an instance without a list of instances sends to a cold target")
	}
}
