package replicator_test

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/replicator"
)

// numbered retains the row with the higher number, and rows that the store lacks.
var numbered = replicator.Retention{
	Compare: func(a, b replicator.Row) int { return cmp.Compare(number(a.Value), number(b.Value)) },
	Life: func(earlier replicator.Row, _ *replicator.Row, _ bool) time.Duration {
		if earlier.Removed {
			return 0
		}
		return replicator.Forever
	},
}

func number(b []byte) int {
	n, err := strconv.Atoi(string(b))
	if err != nil {
		return 0
	}
	return n
}

// restorable is a store that can be restored from an older snapshot.
type restorable struct {
	*store
	era uint64
	// early are the polls that arrived in an era after a version that it does not have.
	early int
	// late delays the answers to polls, whatever their caller does meanwhile. They tell what was there before the delay, or after it
	// if routed is true.
	late   time.Duration
	routed bool
}

// restore goes back to a version in the next era.
func (s *restorable) restore(version uint64) {
	s.set(func() {
		var kept []replicator.Row
		for _, r := range s.history {
			if r.Version <= version {
				kept = append(kept, r)
			}
		}
		s.history, s.version = kept, version
		s.era++
	})
}

func (s *restorable) Read(ctx context.Context, name string) (replicator.Change, error) {
	h, err := s.store.Read(ctx, name)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Era = s.era
	return h, err
}

func (s *restorable) Follow(ctx context.Context, name string, after uint64, wait time.Duration) (replicator.Change, error) {
	s.mu.Lock()
	late, routed, era, compacted := s.late, s.routed, s.era, after > s.version
	if compacted {
		s.early++
	}
	s.mu.Unlock()
	if compacted {
		return replicator.Change{Era: era}, replicator.ErrCompacted
	}
	if routed {
		<-time.After(late)
		s.mu.Lock()
		defer s.mu.Unlock()
		h := s.since(after)
		h.Era = s.era
		return h, nil
	}
	if late > 0 {
		h, err := s.store.Follow(context.WithoutCancel(ctx), name, after, 0)
		h.Era = era
		<-time.After(late)
		return h, err
	}
	h, err := s.store.Follow(ctx, name, after, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Era = s.era
	return h, err
}

// playRestorable runs a replicator of a table that retains the higher number, beside one that notices outages.
func playRestorable(t *testing.T, s *restorable, p replicator.Peers, follows func() bool, f func(*replicator.Replicator, *history)) {
	synctest.Test(t, func(t *testing.T) {
		s.changed = make(chan struct{})
		w := &history{}
		r := replicator.New(replicator.Config{
			Source: s, Peers: p, Follows: follows, Log: logger.Discard(), Clock: time.Now, Origin: "self",
			Tables: []replicator.Table{
				{Name: "first", Wait: time.Second, Changed: func([]replicator.Row) {}},
				{Name: "op", Wait: 15 * time.Second, Changed: w.changed, Retention: numbered},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		f(r, w)
		cancel()
		<-done
	})
}

// history keeps what a replicator told last, and each configuration that it told.
type history struct {
	watcher
	told []string
}

func (w *history) changed(rs []replicator.Row) {
	w.watcher.changed(rs)
	w.mu.Lock()
	defer w.mu.Unlock()
	if v := w.rows["config"]; len(w.told) == 0 || w.told[len(w.told)-1] != v {
		w.told = append(w.told, v)
	}
}

func (w *history) configurations() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.told, " ")
}

// Guards against rows of the store's new era that are missed because its versions are taken for those of the former one, and against
// a configuration that goes back with the store.
func TestRestoredStoreIsReadWhole(t *testing.T) {
	s := &restorable{store: newStore()}
	s.write("config", "5")
	s.write("config", "6")
	s.write("a", "1")
	playRestorable(t, s, nil, nil, func(r *replicator.Replicator, w *history) {
		time.Sleep(3 * time.Second)
		s.restore(1)
		// The versions 2 and 3 are assigned again.
		s.set(func() { s.write("b", "1") })
		s.set(func() { s.write("c", "1") })
		time.Sleep(2 * time.Second)
		if w.get("b") != "1" || w.get("c") != "1" || w.configurations() != "6" {
			t.Errorf("rows %v, configurations %q, want b, c and only 6", w.rows, w.configurations())
		}
		if lost, kept := r.Rows(); lost != 4 || kept != 2 || r.Era() != 1 {
			t.Errorf("era %d: lost %d and kept %d rows, want 4 (of two tables) and 2 in era 1", r.Era(), lost, kept)
		}
		s.set(func() { s.write("config", "7") })
		time.Sleep(2 * time.Second)
		if w.configurations() != "6 7" {
			t.Errorf("configurations %q after a later one", w.configurations())
		}
	})
	// Each table may have had one poll on its way that began before the restore.
	if s.early > 2 {
		t.Errorf("%d polls after versions that the era does not have", s.early)
	}
}

// Guards against rows that are lost because a second restore comes before the first one is over.
func TestSecondRestoreDuringRecovery(t *testing.T) {
	s := &restorable{store: newStore()}
	s.write("config", "5")
	s.write("config", "6")
	playRestorable(t, s, nil, nil, func(r *replicator.Replicator, w *history) {
		time.Sleep(3 * time.Second)
		s.restore(1)
		// The operator has not written its configuration again yet.
		time.Sleep(1500 * time.Millisecond)
		s.set(func() { s.write("a", "1") })
		time.Sleep(100 * time.Millisecond)
		s.restore(1)
		time.Sleep(2 * time.Second)
		if v := r.Versions()["op"]; v.Era != 2 || v.Content != 1 {
			t.Errorf("version %+v, want 1 in era 2", v)
		}
		if w.get("config") != "6" || w.get("a") != "1" || w.configurations() != "6" {
			t.Errorf("rows %v, configurations %q", w.rows, w.configurations())
		}
	})
}

// Guards against an answer of the former era that arrives late and is taken for the present state.
func TestLateAnswerOfFormerEraIsDiscarded(t *testing.T) {
	s := &restorable{store: newStore()}
	s.write("config", "5")
	playRestorable(t, s, nil, nil, func(r *replicator.Replicator, w *history) {
		time.Sleep(2500 * time.Millisecond)
		// The next polls read the rows now and are answered after the restore.
		s.set(func() { s.late = 3 * time.Second; s.write("gone", "1") })
		time.Sleep(10 * time.Millisecond)
		s.set(func() { s.write("later", "1") })
		time.Sleep(10 * time.Millisecond)
		s.restore(1)
		s.set(func() { s.late = 0 })
		r.LearnEra(1)
		time.Sleep(10 * time.Second)
		if v := r.Versions()["op"]; v.Era != 1 || v.Content != 1 {
			t.Errorf("version %+v, want 1 in era 1", v)
		}
		if _, kept := r.Rows(); w.get("later") != "" {
			t.Errorf("rows %v (%d kept) after an answer of the former era", w.rows, kept)
		}
	})
}

// Guards against a store that still answers in a former era and confirms a copy although others have seen its restore.
func TestStoreInFormerEraConfirmsNothing(t *testing.T) {
	s := &restorable{store: newStore()}
	s.write("config", "5")
	playRestorable(t, s, nil, nil, func(r *replicator.Replicator, w *history) {
		time.Sleep(3 * time.Second)
		r.LearnEra(1)
		s.set(func() { s.write("config", "6") })
		time.Sleep(5 * time.Second)
		if a := time.Since(r.CompleteAsOf("op")); a < 4*time.Second || w.configurations() != "5" {
			t.Errorf("age %v, configurations %q", a, w.configurations())
		}
		s.set(func() { s.era = 1 })
		time.Sleep(2 * time.Second)
		if a := time.Since(r.CompleteAsOf("op")); a > 2*time.Second || w.configurations() != "5 6" {
			t.Errorf("in the new era: age %v, configurations %q", a, w.configurations())
		}
	})
}

// Guards against rows of the new era that are missed because a poll after a version of the former one was answered in it, once the copy
// had the new era from a peer.
func TestPollThatCrossesRestoreIsNotUsed(t *testing.T) {
	s := &restorable{store: newStore()}
	s.write("config", "5")
	s.write("a", "1")
	s.write("a", "2")
	playRestorable(t, s, nil, nil, func(r *replicator.Replicator, w *history) {
		time.Sleep(1500 * time.Millisecond)
		s.set(func() { s.late, s.routed = 2*time.Second, true; s.write("a", "3") })
		time.Sleep(10 * time.Millisecond)
		h := s.whole()
		s.restore(1)
		h.Rows, h.Era, h.Version = s.history, 1, 1
		r.Put("op", h)
		s.set(func() {
			for _, k := range []string{"b", "c", "d", "e"} {
				s.write(k, "1")
			}
		})
		time.Sleep(2500 * time.Millisecond)
		s.set(func() { s.late, s.routed = 0, false })
		time.Sleep(5 * time.Second)
		for _, k := range []string{"b", "c", "d", "e"} {
			if w.get(k) != "1" {
				t.Errorf("row %s is missing; rows %v", k, w.rows)
			}
		}
	})
}

// asked records what peers are asked from.
type asked struct {
	peers
	have []replicator.Version
}

func (p *asked) Newer(ctx context.Context, name string, have replicator.Version) (replicator.Change, error) {
	p.have = append(p.have, have)
	return p.peers.Newer(ctx, name, have)
}

// Guards against an instance that is cut off from the store and, when it hears others of a later era again, keeps its former copy,
// takes theirs for older, or loses what only it knows.
func TestInstanceThatDidNotSeeRestore(t *testing.T) {
	s := &restorable{store: newStore()}
	s.write("config", "5")
	s.write("config", "6")
	other := replicator.NewRetainingCopy(numbered)
	other.Apply(start, replicator.Change{Rows: []replicator.Row{{Key: "config", Value: []byte("5"), Version: 1}}, Version: 1, Whole: true})
	p := &asked{peers: peers{copy: other}}
	playRestorable(t, s, p, nil, func(r *replicator.Replicator, w *history) {
		time.Sleep(time.Second)
		s.set(func() { s.down = true })
		time.Sleep(time.Second)
		other.Apply(time.Now(), replicator.Change{
			Rows: []replicator.Row{{Key: "config", Value: []byte("5"), Version: 1}, {Key: "a", Value: []byte("1"), Version: 2}},
			Era:  1, Version: 2, Whole: true,
		})
		if w.get("a") != "" || w.get("config") != "6" {
			t.Errorf("rows %v before the other was heard", w.rows)
		}
		r.Heard("op", "other", other.Version())
		time.Sleep(time.Second)
		if w.get("a") != "1" || w.configurations() != "6" {
			t.Errorf("rows %v, configurations %q", w.rows, w.configurations())
		}
		h, ok := r.Since("op", other.Version().Position())
		if !ok || len(h.Retained) != 1 || len(h.Rows) != 0 {
			t.Fatalf("change %+v for the other", h)
		}
		other.Merge(time.Now(), h)
		if rows(other)["config"] != "6" || r.Versions()["op"].Retained != other.Version().Retained {
			t.Errorf("the other has %v", rows(other))
		}
		// A copy of the former era that arrives now is older.
		other.Merge(time.Now(), replicator.Change{Rows: []replicator.Row{{Key: "b", Value: []byte("1"), Version: 99}}, Version: 99, Whole: true})
		if rows(other)["b"] != "" {
			t.Error("a copy of the former era was merged")
		}
		if n := len(p.have); n != 1 {
			t.Errorf("asked %v", p.have)
		}
	})
}

// unheard is a peer that does not answer at first.
type unheard struct {
	peers
	heard atomic.Bool
}

func (p *unheard) Newer(ctx context.Context, name string, have replicator.Version) (replicator.Change, error) {
	if !p.heard.Load() {
		return replicator.Change{}, replicator.ErrPeer
	}
	return p.peers.Newer(ctx, name, have)
}

// Guards against a process that starts during the recovery and gives its callers the older configuration of the restored store.
func TestProcessThatStartsDuringRecovery(t *testing.T) {
	for name, c := range map[string]struct {
		settled bool
		want    string
	}{
		"a peer lived through the restore": {settled: true, want: "6"},
		"no peer did":                      {want: "5"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &restorable{store: newStore(), era: 1}
			s.write("config", "5")
			other := replicator.NewRetainingCopy(numbered)
			if c.settled {
				other.Apply(start, replicator.Change{Rows: []replicator.Row{{Key: "config", Value: []byte("6"), Version: 2}}, Version: 2, Whole: true})
			}
			h := s.whole()
			h.Era = 1
			other.Apply(start, h)
			p := &unheard{peers: peers{copy: other}}
			playRestorable(t, s, p, nil, func(r *replicator.Replicator, w *history) {
				time.Sleep(300 * time.Millisecond)
				if w.configurations() != "" || !r.CompleteAsOf("op").IsZero() {
					t.Errorf("configurations %q before others were heard", w.configurations())
				}
				p.heard.Store(true)
				time.Sleep(time.Second)
				if c.settled && w.configurations() != c.want {
					t.Errorf("configurations %q, want %s", w.configurations(), c.want)
				}
				time.Sleep(3 * time.Second)
				if w.configurations() != c.want || r.CompleteAsOf("op").IsZero() {
					t.Errorf("configurations %q, want %s, and complete", w.configurations(), c.want)
				}
			})
		})
	}
}

// Guards against a process that starts during the recovery, hears that others retain rows, cannot fetch these for some seconds, and
// meanwhile gives its callers the older configuration of the restored store, with a key that was withdrawn.
func TestProcessThatCannotFetchWhatIsRetained(t *testing.T) {
	s := &restorable{store: newStore(), era: 1}
	s.write("config", "5")
	other := replicator.NewRetainingCopy(numbered)
	other.Apply(start, replicator.Change{Rows: []replicator.Row{{Key: "config", Value: []byte("6"), Version: 2}}, Version: 2, Whole: true})
	h := s.whole()
	h.Era = 1
	other.Apply(start, h)
	p := &unheard{peers: peers{copy: other}}
	playRestorable(t, s, p, nil, func(r *replicator.Replicator, w *history) {
		for range 10 {
			time.Sleep(time.Second)
			r.Heard("op", "other", other.Version())
		}
		if w.configurations() != "" || !r.CompleteAsOf("op").IsZero() {
			t.Errorf("configurations %q, complete as of %v, before the other could be asked", w.configurations(), r.CompleteAsOf("op"))
		}
		p.heard.Store(true)
		time.Sleep(time.Second)
		if w.configurations() != "6" {
			t.Errorf("configurations %q, want 6", w.configurations())
		}
	})
	// One that can never ask takes effect in the end.
	p = &unheard{peers: peers{copy: other}}
	playRestorable(t, s, p, nil, func(r *replicator.Replicator, w *history) {
		for range 40 {
			time.Sleep(time.Second)
			r.Heard("op", "other", other.Version())
		}
		if w.configurations() != "5" {
			t.Errorf("configurations %q after 40 s", w.configurations())
		}
	})
}

// Guards against a claim of another era that has a copy count as complete.
func TestClaimOfOtherEraDoesNotCount(t *testing.T) {
	s := &restorable{store: newStore(), era: 1}
	s.write("config", "5")
	playRestorable(t, s, nil, nil, func(r *replicator.Replicator, _ *history) {
		time.Sleep(4 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		for _, c := range []struct {
			era  uint64
			want bool
		}{{0, false}, {2, false}, {1, true}} {
			r.Receive("op", replicator.Claim{Origin: "o" + strconv.FormatUint(c.era, 10), Sequence: 1, Era: c.era, Content: 1, AsOf: time.Now()})
			if got := time.Since(r.CompleteAsOf("op")) < time.Second; got != c.want {
				t.Errorf("a claim of era %d counts: %v", c.era, got)
			}
		}
	})
}

// Guards against a question of an instance in another era that is answered with changes since a version which it means otherwise, and
// against other texts than those of former programs in era 0.
func TestAnswerToPeer(t *testing.T) {
	r := replicator.New(replicator.Config{
		Source: newStore(), Log: logger.Discard(),
		Tables: []replicator.Table{{Name: "op", Changed: func([]replicator.Row) {}, Retention: numbered}},
	})
	ask := func(query string) string {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/rows?table=op&"+query, http.NoBody))
		return strings.TrimSpace(w.Body.String())
	}
	r.Put("op", replicator.Change{Rows: []replicator.Row{{Key: "config", Value: []byte("6"), Version: 2}}, Version: 2, Whole: true})
	r.Put("op", replicator.Change{Rows: []replicator.Row{{Key: "a", Value: []byte("1"), Version: 3}}, Version: 3})
	r.Put("op", replicator.Change{Rows: []replicator.Row{{Key: "a", Version: 4, Removed: true}}, Version: 4})
	for _, q := range []string{"after=2", "after=2&era=0"} {
		want := `^\{"rows":\[\{"key":"a","version":4,"removed":true\}\],"version":4,"whole":false,"digest":[0-9]+\}$`
		if got := ask(q); !regexp.MustCompile(want).MatchString(got) {
			t.Errorf("%s: %s", q, got)
		}
	}
	r.Put("op", replicator.Change{Rows: []replicator.Row{{Key: "config", Value: []byte("5"), Version: 1}}, Era: 1, Version: 1, Whole: true})
	for q, whole := range map[string]bool{"after=1&era=1": false, "after=1": true, "after=1&era=2": true, "after=0&era=1": true} {
		got := ask(q)
		if strings.Contains(got, `"whole":true`) != whole || !strings.Contains(got, `"era":1`) || !strings.Contains(got, `"retained":[{"key":"config"`) {
			t.Errorf("%s: %s", q, got)
		}
	}
	h := httptest.NewServer(r)
	defer h.Close()
	x, err := replicator.Fetch(t.Context(), h.Client(), netip.MustParseAddrPort(h.Listener.Addr().String()), "op", replicator.Position{Era: 1, Version: 1})
	if err != nil || x.Ceiling != 1 || !maps.Equal(x.Complete, map[uint64]uint64{0: 4}) || x.Age < 0 || len(x.Retained) != 1 {
		t.Errorf("%+v, %v, want what is known of the earlier era", x, err)
	}
	if got := ask("after=1&era=x"); !strings.Contains(got, "era") {
		t.Errorf("an era that is no number: %s", got)
	}
}

// Guards against a configuration that goes back at an instance, and against instances that end with different rows, in any order of
// restores, answers of the store, answers of peers and restarts.
func TestRetainedRowsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &restorable{store: newStore()}
		w.changed = make(chan struct{})
		cs := []*replicator.Copy{replicator.NewRetainingCopy(numbered), replicator.NewRetainingCopy(numbered), replicator.NewRetainingCopy(numbered)}
		now, n := start, 0
		// last is the number of the configuration that a copy had in force.
		last := make([]int, len(cs))
		read := func(c *replicator.Copy) {
			h := w.whole()
			h.Era = w.era
			c.Apply(now, h)
		}
		exchange := func(c, p *replicator.Copy) {
			if h, ok := p.SinceIn(now, c.Version().Position()); ok {
				c.Merge(now, h)
			}
		}
		check := func() {
			for i, c := range cs {
				rs, known := c.Rows()
				if !known {
					continue
				}
				for _, r := range rs {
					if v := number(r.Value); r.Key == "config" {
						if v < last[i] {
							t.Fatalf("configuration %d after %d", v, last[i])
						}
						last[i] = v
					}
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(cs)-1).Draw(t, "copy")
			c, p := cs[i], cs[rapid.IntRange(0, len(cs)-1).Draw(t, "peer")]
			switch rapid.SampledFrom([]string{"write", "other", "restore", "read", "follow", "peer", "peer", "restart"}).Draw(t, "step") {
			case "write":
				n++
				w.write("config", strconv.Itoa(n))
			case "other":
				w.write(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"), "1")
			case "restore":
				w.restore(uint64(rapid.IntRange(0, int(w.version)).Draw(t, "snapshot")))
			case "read":
				read(c)
			case "follow":
				if f := c.FollowedIn(); c.Known() && f.Era == w.era {
					h := w.since(f.Version)
					h.Era = w.era
					c.Apply(now, h)
				}
			case "peer":
				exchange(c, p)
			case "restart":
				cs[i], last[i] = replicator.NewRetainingCopy(numbered), 0
			}
			check()
		}
		for range 2 {
			for _, c := range cs {
				read(c)
				for _, p := range cs {
					exchange(c, p)
				}
				c.Settle()
			}
		}
		check()
		for _, c := range cs {
			if got, want := rows(c), rows(cs[0]); !maps.Equal(got, want) || c.Version() != cs[0].Version() {
				t.Fatalf("rows %v at %+v, and %v at %+v", got, c.Version(), want, cs[0].Version())
			}
		}
	})
}
