package handler

import (
	"context"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/replicator"
	"celeryhead.dev/celeryhead/sharer"
	"celeryhead.dev/celeryhead/timer"
)

const (
	// presenceInterval is the pause between two looks at who is gone.
	presenceInterval = 500 * time.Millisecond
	// presenceGrace is how long a process hears others after its start or a suspension before it records any as gone.
	presenceGrace = 2 * sharer.GoneAfter
	// rejoinPause is the pause after the own row was written, in which the copy of the table learns of it.
	rejoinPause = 2 * time.Second
	// behindLimit is how long the copy of the table of instances may lack what others have before the shares stop filling.
	behindLimit = 500 * time.Millisecond
)

// followPresence writes this instance's row again whenever it is missing or records this instance as gone, and records others as
// gone. It begins once register has written the row.
func (s *Server) followPresence(ctx context.Context) {
	select {
	case <-s.enlisted:
	case <-ctx.Done():
		return
	}
	_ = timer.Sleep(ctx, rejoinPause)
	timer.Every(ctx, presenceInterval, func(ctx context.Context) {
		s.rejoin(ctx)
		s.recordAbsent(ctx, s.clock())
	})
}

// ownRegistration is the row of an instance that is present.
func (s *Server) ownRegistration() registration {
	return registration{Address: s.settings.Address, Region: s.settings.Region, FailureDomain: s.settings.FailureDomain, Lapses: true}
}

// rejoin writes this instance's row again if it has to.
func (s *Server) rejoin(ctx context.Context) {
	s.mu.Lock()
	r, ok := s.registered[s.settings.Name]
	s.mu.Unlock()
	if ok && !r.Gone || s.behind(s.clock()) {
		return
	}
	s.log.PresenceLost(ok)
	b, err := json.Marshal(s.ownRegistration())
	if err != nil {
		s.log.RegisterFailed(err)
		return
	}
	if s.writeRow(ctx, b) {
		s.log.Registered()
	}
	_ = timer.Sleep(ctx, rejoinPause)
}

// recordAbsent records in the store which instances are gone. The write fails if the row has changed meanwhile.
func (s *Server) recordAbsent(ctx context.Context, now time.Time) {
	listed := s.listedPeers(now)
	if !s.majority.lasts(now, listed) {
		return
	}
	if s.rows.Failing() || s.behind(now) || now.Sub(s.begun) < presenceGrace || now.Sub(s.gossip.Resumed(now)) < presenceGrace {
		return
	}
	era := s.rows.Versions()[tableInstances].Era
	for _, n := range sharer.Absent(s.settings.Name, listed) {
		s.mu.Lock()
		r, ok := s.registered[n]
		s.mu.Unlock()
		if !ok || r.Gone || r.era != era {
			// The version of a row that the store lost may be that of another row by now.
			continue
		}
		version := r.version
		r.Gone = true
		b, err := json.Marshal(r)
		if err == nil {
			c, cancel := context.WithTimeout(ctx, writeTimeout)
			err = s.store.Replace(c, tableInstances, n, b, version)
			cancel()
		}
		if err != nil {
			s.log.RegisterFailed(err)
			return
		}
		s.log.AbsenceRecorded(n)
	}
}

// majority tells for how long an instance has heard most of the listed ones. One that was cut off does not hear all that live at the
// same moment again.
type majority struct{ since time.Time }

// lasts reports whether most are heard, and were for as long as an instance has to be silent to be recorded as gone.
func (m *majority) lasts(now time.Time, listed []sharer.Peer) bool {
	alive := 0
	for _, p := range listed {
		if p.Alive {
			alive++
		}
	}
	switch {
	case 2*alive <= len(listed):
		m.since = time.Time{}
	case m.since.IsZero():
		m.since = now
	}
	return !m.since.IsZero() && now.Sub(m.since) >= sharer.GoneAfter
}

// listedPeers returns the listed instances as this one sees them.
func (s *Server) listedPeers(now time.Time) []sharer.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := make([]sharer.Peer, 0, len(s.registered))
	for n, r := range s.registered {
		p := sharer.Peer{Instance: sharer.Instance{Name: n, Region: r.Region, Gone: r.Gone}, Lapses: r.Lapses, Alive: n == s.settings.Name}
		if since, ok := s.added[n]; ok {
			p.Age = max(now.Sub(since), 1)
		}
		if !p.Alive {
			d, heard := s.members.Silent(r.Address, now)
			if !heard {
				d = now.Sub(s.begun)
			}
			p.Silence, p.Alive = d, heard && d <= gossiper.Silence
			back, ok := s.returned[n]
			p.Unheard = ok && now.Add(-d).Before(back)
		}
		ps = append(ps, p)
	}
	return ps
}

// noteReturned records when instances registered again; s.mu is held. A row of another era may be back without a registration,
// because the store lost the record that its instance is gone.
func (s *Server) noteReturned(now time.Time, rs map[string]registration) {
	if s.returned == nil {
		s.returned = map[string]time.Time{}
	}
	for n, r := range rs {
		if before, ok := s.registered[n]; ok && before.Gone && !r.Gone && before.era == r.era {
			s.returned[n] = now
		}
	}
	for n := range s.returned {
		if _, ok := rs[n]; !ok {
			delete(s.returned, n)
		}
	}
}

// noteAdded records when instances were added to the list; s.mu is held. A process does not know that of its first list.
func (s *Server) noteAdded(now time.Time, rs map[string]registration) {
	added := map[string]time.Time{}
	for n := range rs {
		if _, ok := s.registered[n]; s.registered != nil && !ok {
			added[n] = now
		} else if since, ok := s.added[n]; ok {
			added[n] = since
		}
	}
	s.added = added
}

// mayFill reports whether this instance may fill its shares.
func (s *Server) mayFill(now time.Time) bool {
	if s.behind(now) {
		return false
	}
	ps := s.listedPeers(now)
	heard := 0
	for _, p := range ps {
		if p.Alive {
			heard++
		}
	}
	contact := age(now, s.rows.Contact())
	return sharer.MayFill(heard, len(ps), min(age(now, s.rows.CompleteAsOf(s.configuration)), contact), age(now, s.contact()), contact)
}

// age returns the time since t, or the longest time if t is zero.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(t)
}

// behind reports whether living listed instances have had a newer list of instances for longer than behindLimit. It may record that
// this instance is gone.
func (s *Server) behind(now time.Time) bool {
	own := s.rows.Versions()[tableInstances].Position()
	alive := s.members.Alive(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	listed := make(map[netip.Addr]bool, len(s.registered))
	for _, r := range s.registered {
		listed[r.Address] = true
	}
	alive = slices.DeleteFunc(alive, func(m gossiper.Member) bool { return !listed[m.Address] })
	return s.lag.behind(now, own, s.peers.newestPosition(alive, tableInstances))
}

// lags reports whether the copy of the list still lacked what others have when behind was last asked, for longer than contactLimit. The
// others cannot be asked for it then, although they are heard.
func (s *Server) lags(now time.Time) bool {
	own := s.rows.Versions()[tableInstances].Position()
	s.mu.Lock()
	defer s.mu.Unlock()
	return own.Compare(s.lag.missing) < 0 && now.Sub(s.lag.since) > contactLimit
}

// lag tells for how long a copy lacks what others have.
type lag struct {
	// missing is the position that the copy has to reach, and since when it was seen.
	missing replicator.Position
	since   time.Time
}

func (l *lag) behind(now time.Time, own, newest replicator.Position) bool {
	if own.Compare(l.missing) >= 0 || newest.Compare(l.missing) < 0 {
		l.missing, l.since = newest, now
	}
	return own.Compare(l.missing) < 0 && now.Sub(l.since) > behindLimit
}
