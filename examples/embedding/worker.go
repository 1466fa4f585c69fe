package main

import (
	"encoding/json"
	"time"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/tracker"
)

// platform stands for the services that a program has already: a list of its instances, and a row with a version.
type platform struct {
	list    []tracker.Instance
	version uint64
	row     []byte
}

// commit writes the row if base is still its version.
func (p *platform) commit(base uint64, row []byte) bool {
	if p.version != base {
		return false
	}
	p.version, p.row = base+1, row
	return true
}

// worker is one instance of the program that embeds the packages.
type worker struct {
	self     tracker.Instance
	platform *platform
	jobs     []assigner.Resource
	stopped  bool
	// listed is when the list was read last.
	listed time.Time

	tracker  *tracker.Tracker
	attester *attester.Attester
	assigner *assigner.Assigner
}

func newWorker(name string, incarnation uint64, p *platform, jobs []string) (*worker, error) {
	w := &worker{self: tracker.Instance{Name: name, Incarnation: incarnation, Region: "here"}, platform: p}
	for _, j := range jobs {
		w.jobs = append(w.jobs, resource(j))
	}
	t, err := tracker.New(tracker.Config{Self: w.self, Seed: incarnation})
	if err != nil {
		return nil, err
	}
	w.tracker = t
	w.attester = attester.New(attester.Config{Region: w.self.Region})
	w.assigner = assigner.New(assigner.Config{Self: member(w.self)})
	return w, nil
}

func resource(job string) assigner.Resource {
	return assigner.Resource{Name: job, Scope: assigner.FleetScope}
}

func member(i tracker.Instance) assigner.Member {
	return assigner.Member{Name: i.Name, Incarnation: i.Incarnation, Region: i.Region}
}

// mayRun is asked just before each effect of a job, not once for the whole job.
func (w *worker) mayRun(job string, now time.Time) bool {
	return !w.stopped && w.assigner.MayAct(resource(job)) && w.attester.Valid(attester.FleetOwner, now)
}

// step does what is due at now.
func (w *worker) step(now time.Time, all []*worker) error {
	if w.stopped {
		return nil
	}
	if now.Sub(w.listed) >= time.Second {
		w.readList(now)
	}
	w.heartbeat(now, all)
	if err := w.readRow(now); err != nil {
		return err
	}
	if err := w.propose(now); err != nil {
		return err
	}
	w.assigner.Observe(now, w.situation(now))
	w.assigner.Tick(now, w.tracker.Settled(now), w.tracker.Acts(now))
	return nil
}

// situation is what ownership depends on. The row can always be read here, so nobody succeeds a lost worker without an assignment.
func (w *worker) situation(now time.Time) assigner.Situation {
	return assigner.Situation{
		Settled:     w.tracker.Settled(now),
		Acts:        w.tracker.Acts(now),
		Fleet:       assigner.Proof{Expiry: w.attester.Expiry(attester.FleetOwner), Round: w.attester.Round(attester.FleetOwner)},
		Listed:      w.tracker.ListedAt(),
		ListedSince: w.tracker.ListedSince(),
		StoreRead:   now,
		Peer:        func(name string) bool { return w.tracker.State(now, name) != tracker.Gone },
	}
}

func (w *worker) readList(now time.Time) {
	w.listed = now
	var es []tracker.Entry
	for _, i := range w.platform.list {
		es = append(es, tracker.Entry{Instance: i})
	}
	w.tracker.ObserveList(now, now, es)
}

// heartbeat asks the peers that are due; an answer is evidence of the version that the peer applies.
func (w *worker) heartbeat(now time.Time, all []*worker) {
	due := w.tracker.Tick(now).Heartbeat
	w.passMembership(now)
	for _, i := range due {
		w.tracker.ObserveSent(now, i.Name)
		for _, p := range all {
			if p.self.Name != i.Name || p.stopped || !p.tracker.ObserveHeartbeat(now, w.tracker.Heartbeat(now)) {
				continue
			}
			a := p.tracker.Heartbeat(now)
			if w.tracker.ObserveAnswer(now, now, a) {
				w.attester.RecordAnswer(now, attester.Answer{Name: i.Name, Incarnation: i.Incarnation, Version: p.attester.Version(), Acts: a.Acts})
			}
			w.assigner.ObserveRelease(now, member(p.self), p.assigner.Released(now), nil)
		}
	}
}

func (w *worker) passMembership(now time.Time) {
	m := attester.Membership{Admitted: w.tracker.Admitted(), Listed: w.tracker.ListedAt(), Newcomer: w.tracker.Newcomer(now)}
	for _, p := range w.tracker.Peers(now) {
		m.Peers = append(m.Peers, attester.Peer{Name: p.Name, Incarnation: p.Incarnation, Region: p.Region})
	}
	w.attester.SetMembership(m)
}

// readRow adopts a newer version; an older or equal one only proves that the present one is the newest.
func (w *worker) readRow(now time.Time) error {
	v := w.platform.version
	if v > w.assigner.Version() {
		var m map[string]assigner.Assignment
		if err := json.Unmarshal(w.platform.row, &m); err != nil {
			return err
		}
		w.assigner.Adopt(now, assigner.Heads{Version: v, Scopes: m})
		w.assigner.SetResources(now, w.jobs)
		// Work that another worker owns now must have stopped before this is said; mayRun is false for it already.
		w.assigner.Release(v)
		w.attester.Adopt(v)
	}
	w.attester.RecordRead(now, v)
	return nil
}

// propose writes an assignment without the workers that are gone, and with those that are new.
func (w *worker) propose(now time.Time) error {
	if !w.tracker.Acts(now) {
		return nil
	}
	s := assigner.Standing{Self: member(w.self), Peered: []string{w.self.Region}}
	for _, i := range w.tracker.Members(now) {
		s.Active = append(s.Active, member(i))
	}
	for _, i := range w.tracker.Tick(now).Doubtful {
		s.Doubtful = append(s.Doubtful, member(i))
	}
	p, ok := w.assigner.Next(s)
	if !ok {
		return nil
	}
	// The fleet is the only scope here; a program with regions keeps one assignment for each.
	row, err := json.Marshal(map[string]assigner.Assignment{assigner.FleetScope: p.Scopes[assigner.FleetScope]})
	if err != nil {
		return err
	}
	if _, changed := p.Scopes[assigner.FleetScope]; changed {
		w.platform.commit(p.Base, row)
	}
	return nil
}
