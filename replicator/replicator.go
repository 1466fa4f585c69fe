package replicator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/pacer"
	"celeryhead.dev/celeryhead/timer"
)

// ErrCompacted means that the store has dropped the history after the version asked for.
var ErrCompacted = merry.Sentinel("history is no longer available")

// errReread ends a poll of a table that has to be read whole.
var errReread = merry.Sentinel("the table is read again")

// errAhead ends a poll that is silent although the store has a newer version.
var errAhead = merry.Sentinel("the store has a newer version")

// errRestored means that a poll after a version of one era was answered in a later one.
var errRestored = merry.Sentinel("the store was restored since the version asked for")

// errLate means that an answer is of an earlier era than one that was heard of since.
var errLate = merry.Sentinel("the answer is of an earlier era of the store")

// Times of the calls to the store.
const (
	// callTimeout is the time beyond its long poll until the answer of a call begins, and the longest pause in it; the platform
	// states 4 ms for an answer, links add up to 110 ms.
	callTimeout = 600 * time.Millisecond
	// retryPause is the pause after a failed call; each call is charged to the platform's limits, refused ones too.
	retryPause = 400 * time.Millisecond
	// followGap is the time without an answer of the store after which a table is read whole rather than followed.
	followGap = 2 * time.Second
	// followInterval is how often an instance that learns from others looks whether it has to call the store itself.
	followInterval = 100 * time.Millisecond
	// otherPause is the pause of the tables that wait for the end of an outage, for failures of a single call.
	otherPause = time.Second
	// behindPause is how long a copy may be behind a peer before the peer is asked; usually the store's own answer is on
	// its way.
	behindPause = 200 * time.Millisecond
	// aheadPause is how long the answer of a table may be missing once another table told of a newer version; usually it is on
	// its way.
	aheadPause = 300 * time.Millisecond
	// beatInterval is how often a replicator notes that its process runs.
	beatInterval = 200 * time.Millisecond
	// rereadPause is the time between two readings of a table because it differs from that of a peer.
	rereadPause = 5 * time.Second
	// settlePause is how long a copy that begins in an era above 0 waits for a peer that tells what is retained of earlier ones. Three
	// peers can be asked in it that do not answer. A copy that lived through the restore takes effect at once, but denies nothing for
	// as long.
	settlePause = 3 * time.Second
	// missingPause is how long such a copy waits if a peer was heard that retains rows: they may be a newer configuration, in which a
	// key was withdrawn. A fetch fails for this long only if the link is cut.
	missingPause = 30 * time.Second
	// removalPages bounds the calls for removals after a restore.
	removalPages = 8
	// retainedPause is the time between two calls of peers for rows that they retain and that this copy does not have.
	retainedPause = 2 * time.Second
	// peerTimeout is the time until the answer of a peer begins, and the longest pause in it.
	peerTimeout = 500 * time.Millisecond
	// answerRate is the smallest rate of an answer, in bytes a second: a tenth of the slowest links, which have 10 Mbit/s.
	answerRate = 125_000
)

// Source answers for tables. The change has the era of the source also if there is an error, unless no answer told it.
type Source interface {
	// Read returns the whole table.
	Read(ctx context.Context, table string) (Change, error)
	// Follow returns the rows changed after a version, waiting for at most wait until there are any; the error is
	// ErrCompacted if they are not known any more.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Change, error)
}

// Peers asks other instances.
type Peers interface {
	// Newer returns the change of a table for a copy of a version from the peer that knows most of it, or that retains other rows; a
	// copy that does not know what is retained may be given that of any peer.
	// The change names the peer, also if there is an error.
	Newer(ctx context.Context, table string, have Version) (Change, error)
}

// Table is a table to keep.
type Table struct {
	Name string
	// Wait is the length of a long poll.
	Wait time.Duration
	// Pause is the pause after a change, so that changes in quick succession cost one call.
	Pause time.Duration
	// Recheck is the shortest time between two checks of a silent poll of this table, which are made when the store told of a newer
	// version for another table. Zero stands for a second.
	Recheck time.Duration
	// Changed is called after each change, with the rows that are in force.
	Changed func([]Row)
	// Begun, if not nil, is called with the store's rows while what others retain of earlier eras is not known, before Changed.
	Begun func([]Row)
	// Retention decides which rows stay in force when the store is restored from an older snapshot.
	Retention Retention
}

// Config configures a Replicator.
type Config struct {
	Source Source
	Peers  Peers
	// Tables begins with the table whose calls notice an outage; the calls of the others are repeated when it has ended,
	// so that their long polls may be long.
	Tables []Table
	// Follows reports whether this instance calls the store; the others learn from those that do. Nil follows always.
	Follows func() bool
	Log     *logger.Logger
	Clock   timer.Clock
	// Origin identifies this process in claims.
	Origin string
}

// Replicator keeps the tables; it is safe for concurrent use.
type Replicator struct {
	config Config
	tables map[string]*table

	mu sync.Mutex
	// failing is the start of the present outage as seen from here, or zero.
	failing time.Time
	// returned is the end of the last outage, or zero.
	returned time.Time
	contact  time.Time
	// resumed is closed when an outage ends.
	resumed chan struct{}

	// era is the highest one heard of; newest is the newest position that the store told in an answer of any table. Both are
	// guarded by mu.
	era    uint64
	newest Position

	differences atomic.Uint64
	// lost and kept count the rows of all adoptions of an era.
	lost, kept atomic.Uint64
}

type table struct {
	Table
	copy  *Copy
	first bool
	// wake is signaled when a peer was heard to be ahead.
	wake chan struct{}

	freshness freshness
	// inForce is the position of the newest row for which Changed has returned.
	inForce atomic.Pointer[Position]

	mu      sync.Mutex
	applied sync.Mutex
	// newestPeer is the newest position of a row of which a peer told, and behind since when the copy is behind it.
	newestPeer Position
	behind     time.Time
	// retainedElsewhere is true if a peer retains other rows; fetched is when one was last asked for them.
	retainedElsewhere bool
	fetched           time.Time
	// missing is true if a peer was heard in this era that retains rows.
	missing bool
	// unsettled is since when the copy is known but not settled.
	unsettled time.Time
	// doubtful is until when a settled copy may lack what others retain, and adopted is when it last adopted an era. They are read
	// by callers of the replicator, which may run while mu is held.
	doubtful, adopted atomic.Pointer[time.Time]
	// differs is true while the table has to be read whole because a peer has other rows at the same version; read is when that
	// was last begun.
	differs bool
	read    time.Time
	// reread is signaled when differs becomes true.
	reread chan struct{}
	// ahead is signaled when an answer of another table told a newer version; rechecked is when a poll was last checked for it.
	ahead     chan struct{}
	rechecked time.Time
}

// New returns a replicator with empty copies.
func New(c Config) *Replicator {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	r := &Replicator{config: c, tables: map[string]*table{}, resumed: make(chan struct{})}
	for i, t := range c.Tables {
		k := &table{Table: t, copy: NewRetainingCopy(t.Retention), first: i == 0, wake: make(chan struct{}, 1), reread: make(chan struct{}, 1), ahead: make(chan struct{}, 1)}
		k.inForce.Store(&Position{})
		k.adopted.Store(&time.Time{})
		k.doubtful.Store(&time.Time{})
		r.tables[t.Name] = k
	}
	return r
}

// Run keeps the tables until ctx ends.
func (r *Replicator) Run(ctx context.Context) {
	var g sync.WaitGroup
	for _, t := range r.tables {
		g.Go(func() { r.follow(ctx, t) })
		g.Go(func() { r.catchUp(ctx, t) })
		g.Go(func() {
			timer.Every(ctx, beatInterval, func(context.Context) { t.freshness.suspensions.Beat(r.config.Clock()) })
		})
	}
	g.Wait()
}

// follow asks the store for changes, one call at a time.
func (r *Replicator) follow(ctx context.Context, t *table) {
	whole := true
	// read is true once a whole read was tried since the last answer.
	var answered time.Time
	read := false
	wait := t.Wait
	for ctx.Err() == nil {
		// An instance that found the store down calls it until it is back, or it would never learn of that.
		outage := t.first && r.Failing()
		differs := t.startReread(r.config.Clock())
		if t.copy.Known() && !outage && !differs && !r.follows() {
			if timer.Sleep(ctx, followInterval) != nil {
				return
			}
			continue
		}
		resumed := r.outage()
		// The changes since the store last answered may be too many for one answer in time; the table itself is bounded.
		if !read && r.config.Clock().Sub(answered) > followGap {
			whole, read = true, true
		}
		whole = whole || differs || t.copy.Version().Era < r.Era()
		h, asOf, err := r.call(ctx, t, whole, wait, resumed)
		wait = t.Wait
		r.learnEra(h.Era)
		switch {
		case err == nil:
			whole = false
			r.answered(t.first)
			r.learnNewest(t, Position{Era: h.Era, Version: h.Version})
			r.apply(t, h, t.copy.Apply)
			t.freshness.confirm(r.config.Origin, *t.inForce.Load(), asOf)
			answered, read = r.config.Clock(), false
			if t.first && len(h.Rows) > 0 {
				// Others take the age of their copies from this one, which grows from the start of a poll that a change ended.
				wait = max(0, t.Wait-answered.Sub(asOf)).Truncate(time.Millisecond)
			}
			if len(h.Rows) > 0 && t.Pause > 0 && timer.Sleep(ctx, t.Pause) != nil {
				return
			}
			continue
		case errors.Is(err, errRestored):
			whole = true
			continue
		case errors.Is(err, errLate):
			// The store was not away; as long as it answers so, nothing confirms the copy.
			if !r.pause(ctx, t, nil) {
				return
			}
			continue
		case errors.Is(err, ErrCompacted):
			r.config.Log.HistoryLost(t.Name)
			whole = true
			continue
		case ctx.Err() != nil:
			return
		case errors.Is(err, errReread):
			continue
		case errors.Is(err, errAhead):
			wait = 0
			followed := t.copy.FollowedIn()
			r.config.Log.PollOverdue(t.Name, followed.Version, r.newestIn(followed.Era))
			continue
		case errors.Is(err, pacer.ErrStalled):
			// The other kind of answer may be shorter.
			whole = !whole || !t.copy.Known()
		}
		if t.first {
			r.failed(err)
		}
		if !r.pause(ctx, t, resumed) {
			return
		}
	}
}

func (r *Replicator) follows() bool {
	return r.config.Follows == nil || r.config.Follows()
}

// pause waits before the next call; a table that is not the first one waits for the end of an outage.
func (r *Replicator) pause(ctx context.Context, t *table, resumed <-chan struct{}) bool {
	limit := retryPause
	if !t.first {
		limit = otherPause
	}
	k := time.NewTimer(limit)
	defer k.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-resumed:
	case <-k.C:
	}
	return true
}

// call asks the store once, for at most wait until there is a change. Its answer holds all changes up to the returned time,
// which is zero if that is not known.
func (r *Replicator) call(ctx context.Context, t *table, whole bool, wait time.Duration, resumed <-chan struct{}) (Change, time.Time, error) {
	start := r.config.Clock()
	if whole || t.first && r.Failing() {
		// While the store fails, a short call shows its return soonest.
		wait = 0
	}
	c, cancel := pacer.Bound(ctx, pacer.Config{Begin: wait + callTimeout, Pause: callTimeout, Rate: answerRate})
	defer cancel()
	c, interrupt := context.WithCancelCause(c)
	done := make(chan struct{})
	defer close(done)
	if t.first {
		resumed = nil
	}
	after := t.copy.FollowedIn()
	overdue := r.overdue(c, t, after, wait)
	go func() {
		select {
		case <-resumed:
			interrupt(context.Canceled)
		case <-t.reread:
			interrupt(errReread)
		case <-overdue:
			interrupt(errAhead)
		case <-done:
		}
	}()
	var h Change
	var err error
	if whole {
		h, err = r.config.Source.Read(c, t.Name)
	} else {
		h, err = r.config.Source.Follow(c, t.Name, after.Version, wait)
	}
	for _, e := range []error{errReread, errAhead} {
		if err != nil && errors.Is(context.Cause(c), e) {
			return h, time.Time{}, e
		}
	}
	if err != nil && errors.Is(context.Cause(c), pacer.ErrStalled) {
		r.config.Log.AnswerLate(t.Name, whole, after.Version, r.config.Clock().Sub(start), err)
		err = errors.Join(pacer.ErrStalled, err)
	}
	if err == nil {
		err = r.checkEra(h, whole, after.Era)
	}
	if err == nil && whole {
		h, err = r.addRemovals(c, t, h)
	}
	switch {
	case h.More:
		return h, time.Time{}, err
	case whole, len(h.Rows) > 0:
		return h, start, err
	}
	// The answer may have been read much later than it was written, but the store waited for changes.
	return h, start.Add(min(wait, r.config.Clock().Sub(start))), err
}

// addRemovals adds the removals that may concern rows which a whole table of a later era lacks. Without them a row that was written and
// removed again before the table is read would be taken for lost.
func (r *Replicator) addRemovals(ctx context.Context, t *table, h Change) (Change, error) {
	after, ok := t.copy.MissingAfter(h)
	for range removalPages {
		if !ok || after >= h.Version {
			break
		}
		f, err := r.config.Source.Follow(ctx, t.Name, after, 0)
		switch {
		case errors.Is(err, ErrCompacted):
			return h, nil
		case err != nil:
			return Change{Era: f.Era}, err
		case f.Era != h.Era:
			return Change{Era: f.Era}, errRestored
		}
		for _, x := range f.Rows {
			// Later ones arrive when the table is followed.
			if x.Removed && x.Version <= h.Version {
				h.Rows = append(h.Rows, x)
			}
		}
		after, ok = f.Version, f.More
	}
	return h, nil
}

// checkEra returns why an answer of the store may not be used: it is of an earlier era, or it lists what changed since a version of
// another era.
func (r *Replicator) checkEra(h Change, whole bool, after uint64) error {
	switch {
	case h.Era < r.Era():
		return errLate
	case !whole && h.Era != after:
		return errRestored
	}
	return nil
}

// Era returns the highest era of the store that was heard of.
func (r *Replicator) Era() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// LearnEra has the tables read or fetched whole if an era of the store is higher than those heard of before.
func (r *Replicator) LearnEra(era uint64) {
	r.learnEra(era)
}

func (r *Replicator) learnEra(era uint64) {
	r.mu.Lock()
	higher := era > r.era
	if higher {
		r.era, r.newest = era, Position{}
	}
	r.mu.Unlock()
	if !higher {
		return
	}
	// Polls of the earlier era tell nothing any more.
	for _, t := range r.tables {
		select {
		case t.reread <- struct{}{}:
		default:
		}
	}
}

// newestIn returns the newest version of an era that the store told.
func (r *Replicator) newestIn(era uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newest.Era != era {
		return 0
	}
	return r.newest.Version
}

// learnNewest records the newest position of the store and has the polls of other tables checked that do not know it.
func (r *Replicator) learnNewest(from *table, p Position) {
	r.mu.Lock()
	newer := p.Compare(r.newest) > 0
	if newer {
		r.newest = p
	}
	r.mu.Unlock()
	if !newer {
		return
	}
	for _, t := range r.tables {
		if t == from {
			continue
		}
		select {
		case t.ahead <- struct{}{}:
		default:
		}
	}
}

// overdue returns a channel that is closed when the answer to a long poll after a version is overdue: the store told of a newer version
// in an answer for another table, and a short call for this one has rows or fails. The answer of the poll may be lost while the
// store serves other tables; nothing else would show that before the end of the poll.
func (r *Replicator) overdue(ctx context.Context, t *table, after Position, wait time.Duration) <-chan struct{} {
	if t.first || wait <= aheadPause {
		return nil
	}
	c := make(chan struct{})
	go func() {
		for checked := after.Version; ; {
			for r.newestIn(after.Era) <= checked {
				select {
				case <-t.ahead:
				case <-ctx.Done():
					return
				}
			}
			if timer.Sleep(ctx, max(aheadPause, t.recheckIn(r.config.Clock()))) != nil {
				return
			}
			checked = r.newestIn(after.Era)
			x, cancel := pacer.Bound(ctx, pacer.Config{Begin: callTimeout, Pause: callTimeout, Rate: answerRate})
			h, err := r.config.Source.Follow(x, t.Name, after.Version, 0)
			cancel()
			r.learnEra(h.Era)
			if err != nil || len(h.Rows) > 0 {
				close(c)
				return
			}
		}
	}()
	return c
}

// recheckIn returns the time until a poll of the table may be checked again, and takes it for checked then.
func (t *table) recheckIn(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now
	if next := t.rechecked.Add(max(t.Recheck, time.Second)); next.After(at) {
		at = next
	}
	t.rechecked = at
	return at.Sub(now)
}

// catchUp asks a peer while the store fails or the peer is ahead.
func (r *Replicator) catchUp(ctx context.Context, t *table) {
	k := time.NewTicker(behindPause)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
		case <-t.wake:
		}
		r.settle(t)
		if r.config.Peers == nil || !r.asksPeer(t) && !r.asksForRetained(t) {
			continue
		}
		start := r.config.Clock()
		c, cancel := pacer.Bound(ctx, pacer.Config{Begin: peerTimeout, Pause: peerTimeout, Rate: answerRate})
		h, err := r.config.Peers.Newer(c, t.Name, t.copy.Version())
		cancel()
		if err != nil {
			if h.Peer != "" || t.copy.Settled() {
				r.config.Log.PeerCopyFailed(t.Name, h.Peer, r.config.Clock().Sub(start), err)
			}
			if timer.Sleep(ctx, retryPause) != nil {
				return
			}
			continue
		}
		r.apply(t, h, t.copy.Merge)
		r.compare(t, h.Peer, Version{Era: h.Era, Content: h.Version, Digest: h.Digest})
	}
}

// settle has a copy take effect although no peer told what is retained of earlier eras, once that took too long, and ends what is
// retained for a time.
func (r *Replicator) settle(t *table) {
	now := r.config.Clock()
	if t.copy.Version().Era == 0 {
		return
	}
	if t.copy.Settled() {
		r.apply(t, Change{}, func(now time.Time, _ Change) bool { return t.copy.Review(now) })
		return
	}
	t.mu.Lock()
	if t.unsettled.IsZero() {
		t.unsettled = now
	}
	limit := settlePause
	if t.missing {
		limit = missingPause
	}
	over := now.Sub(t.unsettled) >= limit
	t.mu.Unlock()
	if over {
		r.apply(t, Change{}, func(time.Time, Change) bool { return t.copy.Settle() })
	}
}

// asksForRetained reports whether a peer has to be asked for the rows that it retains.
func (r *Replicator) asksForRetained(t *table) bool {
	if !t.copy.Settled() {
		return t.copy.Known()
	}
	now := r.config.Clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.retainedElsewhere || now.Sub(t.fetched) < retainedPause {
		return false
	}
	t.retainedElsewhere, t.fetched = false, now
	return true
}

// compare notices that a peer has other rows at the same version; the table is then read from the store.
func (r *Replicator) compare(t *table, peer string, v Version) {
	if !t.copy.Compare(v) || !t.requestReread(r.config.Clock()) {
		return
	}
	r.differences.Add(1)
	r.config.Log.TableDiffers(t.Name, peer, v.Content)
}

// requestReread has the table read whole, and reports whether that was not requested lately.
func (t *table) requestReread(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.differs || now.Sub(t.read) < rereadPause {
		return false
	}
	t.differs, t.read = true, now
	select {
	case t.reread <- struct{}{}:
	default:
	}
	return true
}

// startReread reports whether the table has to be read whole.
func (t *table) startReread(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The call that begins now serves what was signaled until now.
	select {
	case <-t.reread:
	default:
	}
	d := t.differs
	if d {
		t.differs, t.read = false, now
	}
	return d
}

// Differences returns how often a table had other rows than that of a peer at the same version.
func (r *Replicator) Differences() uint64 {
	return r.differences.Load()
}

// asksPeer reports whether the copy is behind a peer for longer than the store's own answer should take.
func (r *Replicator) asksPeer(t *table) bool {
	own := t.copy.Version().Position()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newestPeer.Compare(own) <= 0 {
		t.behind = time.Time{}
		return false
	}
	if t.behind.IsZero() {
		t.behind = r.config.Clock()
	}
	return r.Failing() || !r.follows() || r.config.Clock().Sub(t.behind) >= behindPause
}

// apply merges a change into the copy by one of its methods.
func (r *Replicator) apply(t *table, h Change, merge func(time.Time, Change) bool) {
	t.applied.Lock()
	defer t.applied.Unlock()
	now, before := r.config.Clock(), t.copy.Version()
	changed := merge(now, h)
	v := t.copy.Version()
	if v.Era != before.Era {
		r.adopted(t, now, before)
	}
	for _, d := range t.copy.Decisions() {
		r.config.Log.EarlierRow(logger.EarlierRow{
			Table: t.Name, Key: d.Key, Era: d.Row.Era, Version: d.Row.Version, Removed: d.Removed, Present: d.Present, Ceiling: d.Ceiling, Ended: d.Ended,
		})
	}
	if h.Settled && h.Era == v.Era {
		t.doubtful.Store(&time.Time{})
	}
	var rs []Row
	if changed {
		// Rows of an unsettled copy do not take effect.
		rs, changed = t.copy.Rows()
		if changed {
			t.Changed(rs)
		} else if t.Begun != nil {
			t.Begun(rs)
		}
	}
	p := v.Position()
	t.inForce.Store(&p)
	if changed {
		r.config.Log.RowsAdopted(t.Name, h.Peer, v.Content, h.Whole, len(h.Rows), len(rs))
	}
}

// adopted records that a copy has adopted an era; before is its version until then.
func (r *Replicator) adopted(t *table, now time.Time, before Version) {
	a := t.copy.Adoption()
	r.learnEra(a.To)
	t.mu.Lock()
	t.unsettled, t.fetched, t.missing = time.Time{}, time.Time{}, false
	t.mu.Unlock()
	until := now.Add(settlePause)
	t.adopted.Store(&now)
	t.doubtful.Store(&until)
	if before == (Version{}) {
		// There was no copy before.
		return
	}
	r.lost.Add(uint64(a.Lost)) //nolint:gosec // It is a number of rows.
	r.kept.Add(uint64(a.Kept)) //nolint:gosec // It is a number of rows.
	r.config.Log.EraAdopted(t.Name, a.From, a.To, a.Lost, a.Kept)
}

// Rows returns how many rows the store lost in its restores, as far as this instance knew them, and how many of those stayed in
// force.
func (r *Replicator) Rows() (lost, kept uint64) {
	return r.lost.Load(), r.kept.Load()
}

// Adopted returns when the copy of a table last adopted an era, or zero.
func (r *Replicator) Adopted(name string) time.Time {
	t := r.tables[name]
	if t == nil {
		return time.Time{}
	}
	return *t.adopted.Load()
}

// Doubtful reports whether others may have known rows before the restore of the store that this copy never had.
func (r *Replicator) Doubtful(name string) bool {
	t := r.tables[name]
	return t != nil && r.config.Clock().Before(*t.doubtful.Load())
}

// Drop ends the retention of a row.
func (r *Replicator) Drop(name, key string) {
	if t := r.tables[name]; t != nil {
		r.apply(t, Change{}, func(now time.Time, _ Change) bool { return t.copy.Drop(now, key) })
	}
}

// Heard records the version that a peer has of a table.
func (r *Replicator) Heard(name, peer string, v Version) {
	t := r.tables[name]
	if t == nil {
		return
	}
	r.learnEra(v.Era)
	// While a change is being applied the versions tell nothing yet; the peer repeats its own.
	if t.applied.TryLock() {
		r.compare(t, peer, v)
		p := t.copy.Version().Position()
		t.inForce.Store(&p)
		t.applied.Unlock()
	}
	own := t.copy.Version()
	t.mu.Lock()
	ahead := v.Position().Compare(t.newestPeer) > 0
	if ahead {
		t.newestPeer = v.Position()
	}
	if v.Era == own.Era && v.Retained != 0 {
		t.missing = t.missing || v.Retained != emptyDigest
		if v.Retained == own.Retained {
			t.doubtful.Store(&time.Time{})
		} else {
			t.retainedElsewhere, ahead = true, true
		}
	}
	t.mu.Unlock()
	if ahead {
		select {
		case t.wake <- struct{}{}:
		default:
		}
	}
}

// Receive records the claim of another instance for its copy of a table.
func (r *Replicator) Receive(name string, c Claim) {
	if t := r.tables[name]; t != nil && c.Era >= r.Era() {
		t.freshness.receive(r.config.Clock(), c)
	}
}

// Claim returns the newest claim that holds for the copy of a table, for other instances; ok is false if there is none.
func (r *Replicator) Claim(name string) (c Claim, ok bool) {
	t := r.tables[name]
	if t == nil || !t.copy.Settled() {
		return c, false
	}
	return t.freshness.newest(r.config.Clock(), *t.inForce.Load())
}

// CompleteAsOf returns the latest time at which the copy of a table is known to have held all that the store had, or
// zero if that is not known. Until then an entry that it lacks did not exist.
func (r *Replicator) CompleteAsOf(name string) time.Time {
	c, _ := r.Claim(name)
	return c.AsOf
}

// Versions returns the version of each table.
func (r *Replicator) Versions() map[string]Version {
	m := make(map[string]Version, len(r.tables))
	for n, t := range r.tables {
		m[n] = t.copy.Version()
	}
	return m
}

// Since returns the change of a table after a position for a peer; ok is false while this instance does not know it.
func (r *Replicator) Since(name string, after Position) (h Change, ok bool) {
	t := r.tables[name]
	if t == nil {
		return Change{}, false
	}
	return t.copy.SinceIn(r.config.Clock(), after)
}

// outage returns a channel that is closed at the end of the present or next outage.
func (r *Replicator) outage() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resumed
}

func (r *Replicator) answered(first bool) {
	now := r.config.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !first {
		return
	}
	r.contact = now
	if r.failing.IsZero() {
		return
	}
	r.config.Log.StoreUp(now.Sub(r.failing))
	r.failing, r.returned = time.Time{}, now
	close(r.resumed)
	r.resumed = make(chan struct{})
}

func (r *Replicator) failed(err error) {
	now := r.config.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing.IsZero() {
		return
	}
	r.failing = now
	r.config.Log.StoreDown(err)
}

// Failing reports whether the last call to the store failed.
func (r *Replicator) Failing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failing.IsZero()
}

// Returned returns when the store answered again after its last outage as seen from here, now while it fails, and
// zero if it never failed.
func (r *Replicator) Returned(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing.IsZero() {
		return now
	}
	return r.returned
}

// Contact returns when the store last answered this instance for the first table.
func (r *Replicator) Contact() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.contact
}
