package steerer

import (
	"encoding/binary"
	"math"
	"slices"
	"sort"

	"celeryhead.dev/celeryhead/composer"
)

// departures holds the weight of the blocks that the shifts from one region move, summed by the step at which they move,
// so that the weight that has moved after any number of steps is found without a pass over the blocks.
type departures struct {
	// shifts are those from the region, in the order in which they claim blocks.
	shifts []departure
	// cells divide the blocks by the steps at which all shifts move them; a lone shift needs none.
	cells []cell
}

// departure is one shift on its own; its weights are running sums in ascending order of steps.
type departure struct {
	name    string
	steps   []int
	weights []sum
}

// cell holds the weight of the blocks that each shift moves at the same step.
type cell struct {
	steps  []int
	weight sum
}

// never is the step of a block that a shift does not move.
const never = math.MaxInt

func newDepartures(b *blocks, region string, all []composer.Shift) *departures {
	d := &departures{}
	var ladders []ladder
	for i := range all {
		if s := &all[i]; s.From == region {
			d.shifts = append(d.shifts, departure{name: s.Name})
			ladders = append(ladders, newLadder(s))
		}
	}
	d.cells = divide(b, region, ladders)
	for i := range d.shifts {
		d.shifts[i].fill(d.cells, i)
	}
	if len(d.shifts) == 1 {
		d.cells = nil
	}
	return d
}

// divide sums the blocks of a region by the steps at which the shifts move them.
func divide(b *blocks, region string, ladders []ladder) []cell {
	var cells []cell
	at := map[string]int{}
	steps, key := make([]int, len(ladders)), []byte(nil)
	b.in(region, func(b Block) {
		key = key[:0]
		for i, l := range ladders {
			steps[i] = l.step(b)
			key = binary.AppendUvarint(key, uint64(steps[i])) //nolint:gosec // Steps are at least 1.
		}
		i, ok := at[string(key)]
		if !ok {
			i = len(cells)
			at[string(key)] = i
			cells = append(cells, cell{steps: slices.Clone(steps)})
		}
		cells[i].weight.add(b.Weight)
	})
	return cells
}

// fill adds up the cells for the shift with index i.
func (d *departure) fill(cells []cell, i int) {
	at := map[int]sum{}
	for _, c := range cells {
		if n := c.steps[i]; n != never {
			w := at[n]
			w.join(c.weight)
			at[n] = w
		}
	}
	for n := range at {
		d.steps = append(d.steps, n)
	}
	slices.Sort(d.steps)
	var w sum
	for _, n := range d.steps {
		w.join(at[n])
		d.weights = append(d.weights, w)
	}
}

// after returns the weight that moves within a number of steps.
func (d *departure) after(steps int) sum {
	i := sort.Search(len(d.steps), func(i int) bool { return d.steps[i] > steps })
	if i == 0 {
		return sum{}
	}
	return d.weights[i-1]
}

// alone returns the weight that a shift has moved after a number of steps, whatever the others claim.
func (d *departures) alone(name string, steps int) sum {
	i := slices.IndexFunc(d.shifts, func(s departure) bool { return s.name == name })
	return d.shifts[i].after(steps)
}

// moved returns the weight that each shift has moved; a block goes with the first shift that claims it.
func (d *departures) moved(steps map[string]int) []sum {
	if len(d.shifts) == 1 {
		return []sum{d.shifts[0].after(steps[d.shifts[0].name])}
	}
	r := make([]sum, len(d.shifts))
	taken := make([]int, len(d.shifts))
	for i, s := range d.shifts {
		taken[i] = min(steps[s.name], never-1)
	}
	for _, c := range d.cells {
		for i := range taken {
			if c.steps[i] <= taken[i] {
				r[i].join(c.weight)
				break
			}
		}
	}
	return r
}

// ladder finds the step at which a shift moves a block.
type ladder struct {
	shift *composer.Shift
	// last is the first step at which the shift has moved all that it moves.
	last int
}

func newLadder(s *composer.Shift) ladder {
	last := sort.Search(math.MaxInt, func(n int) bool { return ShareAt(*s, n) >= s.Share })
	return ladder{shift: s, last: last}
}

func (l ladder) step(b Block) int {
	f := fraction(b.Prefix, l.shift.Name)
	if f >= l.shift.Share {
		return never
	}
	return sort.Search(l.last, func(n int) bool { return f < ShareAt(*l.shift, n) })
}
