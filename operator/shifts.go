package operator

import (
	"math"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/recorder"
)

// carry returns the progress of the shifts of b, given that of the shifts of a.
//
// A shift that was removed, or now connects other regions, starts anew if it comes
// back: its old steps would move all their blocks at once. If the size of
// a step changed, the number of steps becomes the largest that moves no more.
func carry(a, b composer.Config, steps map[string]recorder.ShiftStep) map[string]recorder.ShiftStep {
	older := make(map[string]composer.Shift)
	for _, v := range a.Shifts {
		older[v.Name] = v
	}
	out := make(map[string]recorder.ShiftStep)
	for _, v := range b.Shifts {
		s, ok := steps[v.Name]
		o := older[v.Name]
		if !ok || o.From != v.From || o.To != v.To {
			continue
		}
		if o.Step != v.Step {
			moved := math.Min(o.Share, float64(s.Step)*o.Step)
			s.Step = uint32(math.Min(math.Floor(moved/v.Step), math.MaxUint32))
		}
		out[v.Name] = s
	}
	return out
}
