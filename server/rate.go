package server

import (
	"sync"
	"time"
)

// rateWindow is the time over which a rate is counted.
const rateWindow = time.Second

// rate counts events in whole windows.
type rate struct {
	mu            sync.Mutex
	start         time.Time
	current, last int
}

func (r *rate) count(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	r.current++
}

// perSecond returns the rate of the last whole window.
func (r *rate) perSecond(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	return float64(r.last) / rateWindow.Seconds()
}

func (r *rate) turn(now time.Time) {
	switch d := now.Sub(r.start); {
	case d < rateWindow:
	case d < 2*rateWindow:
		r.start, r.last, r.current = r.start.Add(rateWindow), r.current, 0
	default:
		r.start, r.last, r.current = now, 0, 0
	}
}
