package handler_test

import (
	"testing"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/handler"
)

// Guards against destinations that get more or less than their weight in a short run of requests.
func TestSplitFollowsWeights(t *testing.T) {
	r := &cataloger.Route{Host: "ice.example", Prefix: "/a/", Destinations: []cataloger.Destination{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for range 20 {
		if m := handler.Shares(r, 50); m["b"] < 4 || m["b"] > 6 {
			t.Errorf("%v of 50 requests, want 45 and 5", m)
		}
	}
	r.Destinations = r.Destinations[:1]
	if m := handler.Shares(r, 5); m["a"] != 5 {
		t.Errorf("%v of 5 requests with one destination", m)
	}
}

// Guards against a single slow connection that makes a region look far, and a region that stays near for ever.
func TestTripIsTheShortestOfLate(t *testing.T) {
	const near, far = 5 * time.Millisecond, 60 * time.Millisecond
	if d := handler.TripAfter(time.Second, far, near, far); d != near {
		t.Errorf("trip %v, want %v", d, near)
	}
	if d := handler.TripAfter(6*time.Second, near, far, far, far, far, far); d != far {
		t.Errorf("trip %v after 30 s of %v", d, far)
	}
}
