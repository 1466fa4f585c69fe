package steerer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/composer"
)

// Instance is an instance that answers may name.
type Instance struct {
	Name          string
	Region        string
	FailureDomain string
	Address       netip.AddrPort
}

// Config configures a table.
type Config struct {
	Configuration composer.Config
	// Steps holds the number of steps that each shift has taken.
	Steps map[string]int
}

// Table answers look-ups for one configuration version and one set of steps.
type Table struct {
	*layout
	steps map[string]int
	// leaving holds, for each region that shifts leave, the weight that each of them has moved at these steps.
	leaving map[string]func() []sum
}

// layout is what the tables of all steps of one configuration share.
type layout struct {
	blocks     *blocks
	regions    []string
	capacity   map[string]float64
	shifts     []composer.Shift
	drains     map[composer.DrainKind]map[string]bool
	timeToLive time.Duration
	// departures is computed by region when a decision first needs it, which only the owner of a shift takes.
	departures map[string]func() *departures
}

// New returns the table of a checked configuration, whose blocks must not be changed afterwards.
func New(c Config) *Table {
	return newTable(newBlocks(c.Configuration.Blocks), c)
}

func newTable(b *blocks, c Config) *Table {
	l := &layout{
		blocks:     b,
		capacity:   composer.Capacity(c.Configuration),
		shifts:     c.Configuration.Shifts,
		drains:     map[composer.DrainKind]map[string]bool{},
		timeToLive: c.Configuration.Lookup.TimeToLive,
		departures: map[string]func() *departures{},
	}
	for _, r := range c.Configuration.Regions {
		l.regions = append(l.regions, r.Name)
	}
	for _, d := range c.Configuration.Drains {
		if l.drains[d.Kind] == nil {
			l.drains[d.Kind] = map[string]bool{}
		}
		l.drains[d.Kind][d.Of] = true
	}
	for _, s := range l.shifts {
		l.departures[s.From] = sync.OnceValue(func() *departures { return newDepartures(l.blocks, s.From, l.shifts) })
	}
	return l.at(c.Steps)
}

// At returns the table of the same configuration at other steps; its cost does not depend on the number of blocks.
func (t *Table) At(steps map[string]int) *Table {
	return t.at(steps)
}

// With returns the table of another checked configuration that has the same blocks as that of t, which both share.
func (t *Table) With(c Config) *Table {
	return newTable(t.blocks, c)
}

func (l *layout) at(steps map[string]int) *Table {
	t := &Table{layout: l, steps: steps, leaving: make(map[string]func() []sum, len(l.departures))}
	for r, d := range l.departures {
		t.leaving[r] = sync.OnceValue(func() []sum { return d().moved(steps) })
	}
	return t
}

// Answer tells a caller which instances to use, best first, and for how long.
type Answer struct {
	Region     string
	Instances  []Instance
	TimeToLive time.Duration
}

const (
	// maxNamed bounds the instances in an answer.
	maxNamed = 8
	// maxNamedFirst bounds those of the best region, so that a caller can go elsewhere when that region fails.
	maxNamedFirst = 6
)

// Fleet holds the instances that answers may name; it is immutable.
type Fleet struct {
	regions map[string][]Instance
}

// NewFleet returns a fleet of the instances.
func NewFleet(live []Instance) *Fleet {
	f := &Fleet{regions: map[string][]Instance{}}
	for _, i := range live {
		f.regions[i.Region] = append(f.regions[i.Region], i)
	}
	return f
}

// In returns the number of instances in a region.
func (f *Fleet) In(region string) int {
	return len(f.regions[region])
}

// Answer returns the answer for a caller's address.
func (t *Table) Answer(client netip.Addr, f *Fleet) Answer {
	b := t.blocks.find(client)
	a := Answer{TimeToLive: t.timeToLive, Instances: make([]Instance, 0, maxNamed)}
	limit := maxNamedFirst
	for _, r := range t.order(b) {
		if len(a.Instances) == maxNamed {
			break
		}
		a.Instances = append(a.Instances, t.best(b, f.regions[r], limit-len(a.Instances))...)
		if len(a.Instances) > 0 {
			limit = maxNamed
		}
	}
	if len(a.Instances) > 0 {
		a.Region = a.Instances[0].Region
	}
	return a
}

// best returns up to n instances in rendezvous order of the block.
func (t *Table) best(b Block, in []Instance, n int) []Instance {
	type scored struct {
		at    int
		score float64
	}
	s := make([]scored, 0, len(in))
	for k := range in {
		if !t.Drained(in[k]) {
			s = append(s, scored{at: k, score: fraction(b.Prefix, in[k].Name)})
		}
	}
	slices.SortFunc(s, func(x, y scored) int {
		return cmp.Or(cmp.Compare(y.score, x.score), cmp.Compare(in[x.at].Name, in[y.at].Name))
	})
	r := make([]Instance, 0, min(n, len(s)))
	for _, k := range s[:min(n, len(s))] {
		r = append(r, in[k.at])
	}
	return r
}

// Drained reports whether the configuration takes an instance out of answers.
func (t *Table) Drained(i Instance) bool {
	return t.drains[composer.DrainInstance][i.Name] ||
		t.drains[composer.DrainFailureDomain][i.FailureDomain] ||
		t.drains[composer.DrainRegion][i.Region]
}

// order returns the regions for a block, best first: the region that it is shifted to or its home, then the others by weighted rendezvous.
func (t *Table) order(b Block) []string {
	first := b.Region
	if s := t.Shift(b); s != nil {
		first = s.To
	}
	type scored struct {
		name  string
		score float64
	}
	s := make([]scored, 0, len(t.regions))
	for _, n := range t.regions {
		s = append(s, scored{n, t.score(b, n, first)})
	}
	slices.SortFunc(s, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
	r := make([]string, 0, len(s))
	for _, n := range s {
		r = append(r, n.name)
	}
	return r
}

// score is the weighted rendezvous score of a region: blocks without a home spread in proportion to capacity
// (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005).
func (t *Table) score(b Block, region, first string) float64 {
	if region == first {
		return math.Inf(1)
	}
	f := fraction(b.Prefix, region)
	return -t.capacity[region] / math.Log(max(f, math.SmallestNonzeroFloat64))
}

// Shift returns the shift that moves a block away from its home region, or nil.
func (t *Table) Shift(b Block) *composer.Shift {
	for i := range t.shifts {
		s := &t.shifts[i]
		if s.From == b.Region && moved(b, s, t.steps[s.Name]) {
			return s
		}
	}
	return nil
}

// Find returns the block of an address.
func (t *Table) Find(a netip.Addr) Block {
	return t.blocks.find(a)
}

func moved(b Block, s *composer.Shift, steps int) bool {
	return fraction(b.Prefix, s.Name) < ShareAt(*s, steps)
}

// ShareAt returns the part of the blocks that a shift has moved after a number of steps.
func ShareAt(s composer.Shift, steps int) float64 {
	return min(s.Share, s.Step*float64(steps))
}
