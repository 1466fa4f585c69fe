package handler

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/meter"
	"celeryhead.dev/celeryhead/replicator"
	"celeryhead.dev/celeryhead/sharer"
	"celeryhead.dev/celeryhead/timer"
)

const (
	// tableInstances is the table of the instances that share the limits of the fleet.
	tableInstances = "instances"
	// instancesWait is the long poll of that table, which changes only when instances are added or removed.
	instancesWait = 15 * time.Second
	// instancesPause is the pause after a change of it; all instances register at once when a fleet starts.
	instancesPause = time.Second
	// instancesRecheck is the shortest time between two checks of a silent poll of it.
	instancesRecheck = 5 * time.Second
	// idleRowLife is how long an instance is silent before its row is removed by another one.
	idleRowLife = 10 * time.Minute
	// writeTimeout bounds a write to the table of instances.
	writeTimeout = time.Second
	// registerPause is the pause after a failed registration.
	registerPause = 500 * time.Millisecond
	// rewritePause is the time after which an own row that is still missing is written again; until then the write may be on its
	// way back. The platform gives 4 s in all.
	rewritePause = 3 * time.Second
	// rewriteSpread is the time over which the instances spread their writes after a restore, in which many may have lost theirs.
	rewriteSpread = time.Second
)

// registration is a row of the table of instances.
type registration struct {
	Address       netip.Addr `json:"address"`
	Region        string     `json:"region"`
	FailureDomain string     `json:"failure_domain"`
	// Lapses is true if the instance stops filling its shares without contact.
	Lapses bool `json:"lapses,omitempty"`
	// Gone is set by another instance; the instance then writes its row again before it fills its shares.
	Gone bool `json:"gone,omitempty"`

	era, version uint64
}

// retainInstance has an instance count whose row the restored store lacks, or the others would grant its part of each allowance too.
// Its row ends when it was silent for idleRowLife.
func retainInstance(earlier replicator.Row, present *replicator.Row, _ bool) time.Duration {
	if earlier.Removed || present != nil && !present.Removed {
		return 0
	}
	return replicator.Forever
}

// Configure takes over a configuration; an older one is ignored.
func (s *Server) Configure(c cataloger.Configuration) {
	changed := s.book.Configure(c)
	s.unreadable.Store(false)
	if !changed {
		return
	}
	s.log.ConfigAdopted(c.Version, "store")
	s.divide()
	s.checkReady()
}

// RejectConfiguration records that the newest configuration cannot be read; the one in force then denies no request.
func (s *Server) RejectConfiguration() {
	s.unreadable.Store(true)
}

// Evacuate replaces the failure domains whose targets get nothing.
func (s *Server) Evacuate(domains map[string]bool) {
	if s.book.Evacuate(domains) {
		s.log.Evacuated(slices.Sorted(maps.Keys(domains)))
	}
}

// ListTargets replaces the targets by name.
func (s *Server) ListTargets(ts map[string]cataloger.Target) {
	now := s.clock()
	s.mu.Lock()
	left := departed(s.roster.Targets(), ts)
	s.roster.List(ts, s.lapsing(now))
	s.listed = true
	s.mu.Unlock()
	s.assign()
	leaving, cold := 0, 0
	for _, t := range ts {
		if t.Leaving {
			leaving++
		}
		if now.Before(t.ColdUntil) {
			cold++
		}
	}
	s.log.TargetsListed(len(ts), leaving, cold, left)
	s.checkReady()
}

// departed returns the names of targets that were usable before and leave or are missing now.
func departed(before, now map[string]cataloger.Target) []string {
	ns := []string{}
	for n, t := range before {
		if u, ok := now[n]; !t.Leaving && (!ok || u.Leaving || u.Started != t.Started) {
			ns = append(ns, n)
		}
	}
	slices.Sort(ns)
	return ns
}

// assign has the targets of the roster used, but for those at the address where another instance serves callers: requests would
// come back to the fleet without their key, and a booking would end as 502.
func (s *Server) assign() {
	s.assigning.Lock()
	defer s.assigning.Unlock()
	s.mu.Lock()
	all := s.roster.Targets()
	instances := make(map[netip.AddrPort]bool, len(s.registered))
	for _, g := range s.registered {
		instances[netip.AddrPortFrom(g.Address, s.settings.Callers.Port())] = true
	}
	s.mu.Unlock()
	misplaced := map[string]bool{}
	maps.DeleteFunc(all, func(n string, t cataloger.Target) bool {
		misplaced[n] = instances[t.Address]
		return misplaced[n]
	})
	for n, m := range misplaced {
		if m && !s.misplaced[n] {
			s.log.EntryRejected("targets", n, 0, errInstanceAddress)
		}
	}
	s.misplaced = misplaced
	s.book.Assign(all)
}

var errInstanceAddress = merry.Sentinel("an instance serves callers at the address of the target")

// lapsing reports whether rows may be missing only because the store was away.
func (s *Server) lapsing(now time.Time) bool {
	s.outages.observe(now, s.contact())
	return s.outages.lapsing(now, s.rows.Returned(now))
}

// lapse drops targets that did not come back after an outage.
func (s *Server) lapse(now time.Time) {
	if s.lapsing(now) {
		return
	}
	s.mu.Lock()
	changed := s.roster.Lapse()
	s.mu.Unlock()
	if changed {
		s.assign()
	}
}

// listInstances takes over the table of instances.
func (s *Server) listInstances(rows []replicator.Row) {
	rs := make(map[string]registration, len(rows))
	as := make([]netip.Addr, 0, len(rows))
	for _, r := range rows {
		var g registration
		if err := json.Unmarshal(r.Value, &g); err != nil || !g.Address.IsValid() {
			s.log.EntryRejected(tableInstances, r.Key, r.Version, err)
			continue
		}
		g.era, g.version = r.Era, r.Version
		rs[r.Key] = g
		as = append(as, g.Address)
	}
	s.mu.Lock()
	s.noteReturned(s.clock(), rs)
	s.noteAdded(s.clock(), rs)
	s.registered = rs
	s.mu.Unlock()
	s.assign()
	s.members.List(as)
	s.gate.Adopt(slices.Sorted(maps.Keys(rs)))
	s.divide()
	s.extendShares(s.clock())
	s.log.InstancesListed(len(rs))
}

// contactInstances has the instances contacted that the table names before it takes effect.
func (s *Server) contactInstances(rows []replicator.Row) {
	var as []netip.Addr
	for _, r := range rows {
		var g registration
		if err := json.Unmarshal(r.Value, &g); err == nil && g.Address.IsValid() {
			as = append(as, g.Address)
		}
	}
	s.members.List(as)
}

// instances are those among which the limits of the fleet are divided.
func (s *Server) instances() []sharer.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	is := make([]sharer.Instance, 0, len(s.registered))
	for _, n := range slices.Sorted(maps.Keys(s.registered)) {
		is = append(is, sharer.Instance{Name: n, Region: s.registered[n].Region, Gone: s.registered[n].Gone})
	}
	return is
}

// instancesByRegion returns the number of listed instances of each region in which at least one may live.
func (s *Server) instancesByRegion(now time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, lives := map[string]int{}, map[string]bool{s.settings.Region: true}
	for _, g := range s.registered {
		n[g.Region]++
		if !lives[g.Region] && s.mayAnswer(g.Address, now) {
			lives[g.Region] = true
		}
	}
	maps.DeleteFunc(n, func(r string, _ int) bool { return !lives[r] })
	return n
}

// instancesByDomain returns the number of listed instances that may live in each failure domain of the region. Those that do not
// count because callers use the others.
func (s *Server) instancesByDomain(now time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := map[string]int{}
	for _, g := range s.registered {
		if g.Region == s.settings.Region && (g.Address == s.settings.Address || s.mayAnswer(g.Address, now)) {
			n[g.FailureDomain]++
		}
	}
	return n
}

// divide divides the limits of the fleet anew.
func (s *Server) divide() {
	n := s.instances()
	l := map[string]sharer.Limit{}
	s.book.Catalog().Accounts(func(a *cataloger.Account) { l[a.Name] = sharer.Limit{Rate: a.Rate, Burst: a.Burst} })
	s.shares.Adopt(s.clock(), l, n)
	s.budget.Adopt(s.limits.Load().Retries, len(n))
}

// register writes this instance's row unless it is there already, and again when the store lost it.
func (s *Server) register(ctx context.Context) {
	own := s.ownRegistration()
	b, err := json.Marshal(own)
	if err != nil {
		s.log.RegisterFailed(err)
		return
	}
	registered := false
	var w rewrite
	for ctx.Err() == nil {
		known, there, lost := s.registeredAs(own)
		era := s.rows.Versions()[tableInstances].Era
		switch {
		case !known:
		case there && !registered:
			s.log.Registered()
			registered = true
			close(s.enlisted)
		case there:
		case !registered:
			if registered = s.writeRow(ctx, b); registered {
				s.log.Registered()
				w.wrote(s.clock(), era)
				close(s.enlisted)
			}
		case lost && era > 0 && !s.leaving.Load() && w.due(s.clock(), era):
			if s.writeRow(ctx, b) {
				s.log.RowRewritten(tableInstances, era)
				w.wrote(s.clock(), era)
			}
		}
		if timer.Sleep(ctx, registerPause) != nil {
			return
		}
	}
}

// writeRow writes this instance's row and reports whether the store took it.
func (s *Server) writeRow(ctx context.Context, row []byte) bool {
	c, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := s.store.Put(c, tableInstances, s.settings.Name, row)
	// The store may have been restored since the tables were read.
	s.rows.LearnEra(s.store.Era())
	if err != nil {
		s.log.RegisterFailed(err)
	}
	return err == nil
}

// rewrite tells when a row that the store lost is written again.
type rewrite struct {
	// era is the one in which the row was last written or found missing, and next when it may be written.
	era  uint64
	next time.Time
}

// wrote records that the row was written in an era.
func (w *rewrite) wrote(now time.Time, era uint64) {
	w.era, w.next = era, now.Add(rewritePause)
}

// due reports whether a row that is missing in an era is to be written now.
func (w *rewrite) due(now time.Time, era uint64) bool {
	if era > w.era {
		w.era, w.next = era, now.Add(rand.N(rewriteSpread)) //nolint:gosec // No secret.
	}
	return !now.Before(w.next)
}

// registeredAs reports whether the table is known, whether the store has this instance's row as it should be, and whether the store
// has none of this process in the era of the table. A restored store may have that of an earlier process.
func (s *Server) registeredAs(own registration) (known, there, lost bool) {
	era := s.rows.Versions()[tableInstances].Era
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.registered[s.settings.Name]
	present := ok && r.era == era
	r.era, r.version = 0, 0
	there = present && r == own
	r.Gone = false
	return s.registered != nil, there, !present || r != own
}

// sweep removes the rows of instances that were silent for long; the instance with the first name that is heard does.
func (s *Server) sweep(ctx context.Context, now time.Time) {
	if now.Sub(time.Unix(0, s.started)) < idleRowLife {
		return
	}
	s.dropRetained(now)
	if s.rows.Failing() {
		return
	}
	for _, m := range s.members.Alive(now) {
		if m.Name < s.settings.Name {
			return
		}
	}
	s.mu.Lock()
	rs := maps.Clone(s.registered)
	s.mu.Unlock()
	era := s.rows.Versions()[tableInstances].Era
	for n, r := range rs {
		if n == s.settings.Name || r.era != era {
			continue
		}
		if _, heard := s.members.Silent(r.Address, now); heard {
			continue
		}
		c, cancel := context.WithTimeout(ctx, writeTimeout)
		err := s.store.Remove(c, tableInstances, n, r.version)
		cancel()
		s.rows.LearnEra(s.store.Era())
		if err != nil {
			s.log.RegisterFailed(err)
			return
		}
	}
}

// dropRetained drops the rows of instances that were silent for long and that the store lost. Each instance does so for itself.
func (s *Server) dropRetained(now time.Time) {
	era := s.rows.Versions()[tableInstances].Era
	s.mu.Lock()
	rs := maps.Clone(s.registered)
	s.mu.Unlock()
	for n, r := range rs {
		if _, heard := s.members.Silent(r.Address, now); n != s.settings.Name && r.era != era && !heard {
			s.rows.Drop(tableInstances, n)
		}
	}
}

// restores is what the metrics tell about restores of the store.
func (s *Server) restores() meter.Restores {
	lost, kept := s.rows.Rows()
	return meter.Restores{Era: s.rows.Era(), Lost: lost, Kept: kept}
}
