package steerer

import (
	"time"

	"celeryhead.dev/celeryhead/composer"
)

// Progress is the stored state of a shift.
type Progress struct {
	Steps int
	// At is the time of the last step, or zero.
	At time.Time
}

// Load is the measured load of a region.
type Load struct {
	// Rate is in requests per second.
	Rate float64
	// At is when the measurement was taken.
	At time.Time
	// Instances is the number of instances whose reports are part of Rate, and Expected the number that should report.
	Instances, Expected int
}

// Hold says why a shift does not advance.
type Hold string

// The reasons to hold a shift.
const (
	Advance        Hold = ""
	Finished       Hold = "finished"
	NotStarted     Hold = "not_started"
	StepInterval   Hold = "step_interval"
	OverCap        Hold = "over_cap"
	OverCapacity   Hold = "over_capacity"
	NoMeasurement  Hold = "no_measurement"
	OldMeasurement Hold = "old_measurement"
	PartialReport  Hold = "partial_report"
	NoSuchShift    Hold = "no_such_shift"
	DrainedRegion  Hold = "drained_region"
)

// maxLoadAge is how old a measurement may be when a step relies on it.
const maxLoadAge = 5 * time.Second

// Next decides whether a shift may take its next step. Answers given before the last step may be in use for one
// time to live, so a step waits at least that long: until then a block counts in both regions.
func (t *Table) Next(name string, p Progress, loads map[string]Load, now time.Time) Hold {
	s := t.shift(name)
	if s == nil {
		return NoSuchShift
	}
	if h := t.due(s, p, now); h != Advance {
		return h
	}
	w := t.MovedWeight(*s, p.Steps+1)
	if w > s.Cap {
		return OverCap
	}
	return t.fits(s, w-t.MovedWeight(*s, p.Steps), loads, now)
}

func (t *Table) shift(name string) *composer.Shift {
	for i := range t.shifts {
		if t.shifts[i].Name == name {
			return &t.shifts[i]
		}
	}
	return nil
}

func (t *Table) due(s *composer.Shift, p Progress, now time.Time) Hold {
	switch {
	case ShareAt(*s, p.Steps) >= s.Share:
		return Finished
	case now.Before(s.Start):
		return NotStarted
	case t.drains[composer.DrainRegion][s.To]:
		return DrainedRegion
	case now.Sub(p.At) < max(s.StepInterval, t.timeToLive):
		return StepInterval
	}
	return Advance
}

// fits checks the load that the next step adds against what the configuration expects and what was measured; the larger load counts.
func (t *Table) fits(s *composer.Shift, added float64, loads map[string]Load, now time.Time) Hold {
	l, ok := loads[s.To]
	switch {
	case !ok:
		return NoMeasurement
	case now.Sub(l.At) > maxLoadAge || l.At.After(now):
		return OldMeasurement
	case l.Expected == 0 || l.Instances < l.Expected:
		return PartialReport
	}
	if max(l.Rate, t.planned(s.To))+added > t.capacity[s.To] {
		return OverCapacity
	}
	return Advance
}

// MovedWeight returns the expected rate in requests per second that a shift of the configuration has moved after a
// number of steps, as if it were the only shift; it is 0 for a shift of another configuration.
func (t *Table) MovedWeight(s composer.Shift, steps int) float64 {
	k := t.shift(s.Name)
	if k == nil {
		return 0
	}
	w := t.departures[k.From]().alone(k.Name, steps)
	return w.value()
}

// Planned returns the expected rate of each region with the shifts at their present steps.
func (t *Table) Planned() map[string]float64 {
	m := map[string]float64{}
	for r := range t.blocks.weights {
		m[r] = t.planned(r)
	}
	for _, s := range t.shifts {
		m[s.To] = t.planned(s.To)
	}
	return m
}

// planned returns the expected rate of a region: its own blocks, less those that shifts move away, and those that they move here.
func (t *Table) planned(region string) float64 {
	w := t.blocks.weights[region]
	next := map[string]int{}
	for _, s := range t.shifts {
		i := next[s.From]
		next[s.From]++
		if s.From != region && s.To != region {
			continue
		}
		m := t.leaving[s.From]()[i]
		if s.From == region {
			w.subtract(m)
		}
		if s.To == region {
			w.join(m)
		}
	}
	return w.value()
}
