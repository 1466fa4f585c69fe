package launcher_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/launcher"
)

const (
	// freshness is how long an instance may act on what it knows.
	freshness = 3 * time.Second
	// routeDeadline is that of quick.
	routeDeadline = 3 * time.Second
	// staleAfter is when the last request that a cut-off instance accepted has ended.
	staleAfter = freshness + routeDeadline
	// takeover is the time after a crash until buckets and targets have their next owners: 1.5 s of silence, 0.5 s of
	// jitter, a write of at most 1 s, the wait of 3 s and the life of a grant, 0.5 s.
	takeover = 6500 * time.Millisecond
	// forgotten is when peers no longer count an instance that died: the lag of the list (1 s) until readings lack it,
	// then list_lag + list_age (4 s), one interval of readings (1 s) and the freshness of the proof that follows.
	forgotten = 6*time.Second + freshness
	// rejoined is when an instance owns again what it lost: the lag of the list (1 s), a reading (1 s), list_lag + list_age
	// as a newcomer (4 s), the age that the assignment before must have (3 s) and the wait for earlier owners (3 s).
	rejoined = 12 * time.Second
	// settling is the time within which every region gets its assignment: a newcomer waits for list_lag + list_age and the
	// lag of the list, and regions follow each other at intervals of the freshness.
	settling = 25 * time.Second
	// warmUp is the time for the hand-overs that follow an assignment.
	warmUp = 5 * time.Second
	// watch is how long a test watches each state under load.
	watch = 4 * time.Second
)

// Kinds of requests of the mixed load, which are the prefixes of their keys.
const (
	keyedRead = "keyed"
	openRead  = "open"
	booking   = "booking"
	ticketed  = "ticketed"
)

// interruption is a way in which a region is cut off from the store and the other regions.
type interruption struct {
	name string
	cut  func(*launcher.Relay)
	// list is true if the region is cut off from the list too.
	list bool
	// unlisted is true if the platform no longer lists the instances of the region.
	unlisted bool
}

var (
	refused = interruption{name: "refused", cut: (*launcher.Relay).Cut}
	silent  = interruption{name: "silent", cut: (*launcher.Relay).Drop}
	// refusedByAll and silentToAll include the list; unlisted too is a region that the platform itself takes for dead.
	refusedByAll = interruption{name: "refused", cut: (*launcher.Relay).Cut, list: true}
	silentToAll  = interruption{name: "silent", cut: (*launcher.Relay).Drop, list: true}
	unlisted     = interruption{name: "unlisted", cut: (*launcher.Relay).Cut, list: true, unlisted: true}
)

// region returns the instances of a region.
func (s *system) region(name string) []*launcher.Instance {
	var r []*launcher.Instance
	for _, i := range s.Instances {
		if i.Region == name {
			r = append(r, i)
		}
	}
	return r
}

// cutOff interrupts a region's paths and returns when it did; heal ends the interruption.
func (s *system) cutOff(n *network, region string, k interruption) (at time.Time, heal func() time.Time) {
	s.t.Helper()
	var names []string
	for _, i := range s.region(region) {
		names = append(names, i.Name)
	}
	paths := func(p launcher.Path) bool { return around(names...)(p) && (k.list || p.To != launcher.ToList) }
	n.on(paths, k.cut)
	at = time.Now()
	if k.unlisted {
		for _, i := range names {
			s.unlist(i)
		}
	}
	return at, func() time.Time {
		n.on(paths, (*launcher.Relay).Heal)
		for _, i := range s.region(region) {
			if err := s.Register(s.t.Context(), i); err != nil {
				s.t.Fatal(err)
			}
		}
		return time.Now()
	}
}

// settle waits until every region has an assignment of its own and the hand-overs after the last one have ended.
func (s *system) settle() {
	s.t.Helper()
	s.eventually(settling, func() bool {
		var b strings.Builder
		for _, i := range s.Instances {
			b.WriteString(s.Log(i.Name))
		}
		return !slices.ContainsFunc(s.Configuration.Regions, func(g composer.Region) bool {
			return !regexp.MustCompile(`"event":3002,.*"scope":"` + g.Name + `"`).MatchString(b.String())
		})
	})
	pause(warmUp)
}

// unlist takes an instance off the platform's list.
func (s *system) unlist(name string) {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodDelete, "http://"+s.ListAddress.String()+"/admin/instances/"+name, http.NoBody)
	if err != nil {
		s.t.Fatal(err)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = p.Body.Close()
}

// mixed starts keyed reads, open reads, bookings and bookings with tickets at all instances, below half of the account's rate.
func (s *system) mixed() (stop func() []sending) {
	kinds := []string{keyedRead, openRead, booking, ticketed}
	return s.callers(2*len(kinds), func(r *rand.Rand, caller, count int) []sending {
		pause(40 * time.Millisecond)
		k := kinds[caller%len(kinds)]
		key := fmt.Sprintf("%s-%d-%d", k, caller, count)
		switch k {
		case keyedRead:
			return []sending{s.send(s.pick(r), order{method: http.MethodGet, path: "/permits/1", account: "almaty-markets", key: key})}
		case openRead:
			return []sending{s.send(s.pick(r), order{method: http.MethodGet, path: "/pitches/1", key: key})}
		case ticketed:
			return s.bookWithTicket(s.pick(r))
		default:
			return s.book(r, key, 5)
		}
	})
}

// bookWithTicket books once at the instance that issued the ticket.
func (s *system) bookWithTicket(i *launcher.Instance) []sending {
	k, a := s.tryTicket(i)
	if k == "" {
		a.key = ticketed
		return []sending{a}
	}
	return []sending{s.send(i, order{method: http.MethodPost, path: "/bookings", account: "almaty-markets", key: k, body: k})}
}

// during returns the sendings that started in a window.
func during(all []sending, from, to time.Time) []sending {
	var r []sending
	for _, a := range all {
		if !a.start.Before(from) && a.start.Before(to) {
			r = append(r, a)
		}
	}
	return r
}

// at returns the sendings at instances of the named regions.
func at(all []sending, regions ...string) []sending {
	var r []sending
	for _, a := range all {
		for _, g := range regions {
			if strings.HasPrefix(a.instance, g+"-") {
				r = append(r, a)
			}
		}
	}
	return r
}

func open(a sending) bool {
	return strings.HasPrefix(a.key, openRead+"-")
}

func keyed(a sending) bool {
	return !open(a)
}

func refusedAsStale(a sending) bool {
	return a.err == nil && a.reason == "stale" && a.ran == "not-run"
}

func notStale(a sending) bool {
	return a.err == nil && a.reason != "stale"
}

func whole(a sending) bool {
	return a.answered()
}

// expect fails the test unless there are sendings of a kind and all of them are as wanted.
func (s *system) expect(what string, all []sending, kind, wanted func(sending) bool) {
	s.t.Helper()
	n, bad := 0, 0
	for _, a := range all {
		if !kind(a) {
			continue
		}
		n++
		if wanted(a) {
			continue
		}
		bad++
		if bad <= 5 {
			s.t.Log(a)
		}
	}
	if n == 0 || bad > 0 {
		s.t.Errorf("%s: %d of %d requests were not as wanted", what, bad, n)
		return
	}
	s.t.Logf("%s: %d requests", what, n)
}

// checkKeyedRuns fails the test if a keyed request that was sent only to instances of the region started in a window.
// Instances of other regions may start requests on its targets once the platform no longer lists its own.
func (s *system) checkKeyedRuns(all []sending, region string, from, to time.Time) {
	s.t.Helper()
	elsewhere := map[string]bool{}
	for _, a := range all {
		elsewhere[a.key] = elsewhere[a.key] || !strings.HasPrefix(a.instance, region+"-")
	}
	for _, r := range s.runs() {
		other, sent := elsewhere[r.IdempotencyKey]
		if sent && !other && !strings.HasPrefix(r.IdempotencyKey, openRead+"-") && r.Start.After(from) && r.Start.Before(to) {
			s.t.Errorf("%s started on %s %v after it had to be refused", r.IdempotencyKey, r.Target, r.Start.Sub(from))
		}
	}
}

// Guards P8, P9 and design 2.1 in a region that is cut off from the store and the other regions: it refuses keyed
// requests and goes on with open ones, the others go on, and everything works again afterwards.
func TestRegionIsCutOffFromStoreAndPeers(t *testing.T) {
	for _, k := range []interruption{refused, silent} {
		t.Run(k.name, func(t *testing.T) { testCutRegion(t, k, whole) })
	}
}

// Guards the same in a region that is cut off from the list too: it refuses open requests as well, because it cannot
// know whether the others have taken its targets over.
func TestRegionIsCutOff(t *testing.T) {
	for _, k := range []interruption{refusedByAll, silentToAll} {
		t.Run(k.name, func(t *testing.T) { testCutRegion(t, k, refusedAsStale) })
	}
}

// testCutRegion cuts a region off; openInCut is what its open requests must get.
func testCutRegion(t *testing.T, k interruption, openInCut func(sending) bool) {
	t.Helper()
	n := newNetwork(t)
	s := start(t, launcher.Config{Through: n.through})
	stop := s.mixed()
	s.settle()
	cut, heal := s.cutOff(n, "astana", k)
	pause(takeover + watch)
	healed := heal()
	pause(takeover + watch)
	all := stop()
	s.expect("everywhere before the cut", during(all, cut.Add(-2*time.Second), cut.Add(-time.Second)), anyKind, whole)
	inCut := during(at(all, "astana"), cut.Add(staleAfter), healed)
	s.expect("keyed in the region that is cut off", inCut, keyed, refusedAsStale)
	s.expect("open in the region that is cut off", inCut, open, openInCut)
	s.expect("all in the other regions", during(at(all, "almaty", "shymkent"), cut.Add(takeover), healed), anyKind, whole)
	s.expect("everywhere after healing", during(all, healed.Add(takeover), time.Now()), anyKind, whole)
	s.checkKeyedRuns(all, "astana", cut.Add(staleAfter), healed)
	s.checkOnce(all)
}

func anyKind(sending) bool {
	return true
}

// Guards P5 under two faults at once: a key that is withdrawn while a region is cut off stops there too, and stays
// refused after healing.
func TestKeyIsWithdrawnWhileARegionIsCutOff(t *testing.T) {
	n := newNetwork(t)
	s := start(t, launcher.Config{Through: n.through})
	stop := s.callers(4, func(_ *rand.Rand, caller, count int) []sending {
		pause(200 * time.Millisecond)
		c := s.region("astana")
		return []sending{s.send(c[caller%len(c)], order{method: http.MethodGet, path: "/permits/1", account: "craft-fairs", key: fmt.Sprintf("withdrawn-%d-%d", caller, count)})}
	})
	s.settle()
	cut, heal := s.cutOff(n, "astana", silentToAll)
	pause(100 * time.Millisecond)
	// The bound counts from before the command, which is earlier than its acceptance.
	asked := time.Now()
	out, code := s.operateAt(s.Instances[:1], "--wait", "5s", "key", "withdraw", "craft-fairs", "first", "--reason", "lost")
	took := time.Since(asked)
	if code != 4 || !strings.Contains(out, "astana-1") || !strings.Contains(out, "astana-2") {
		t.Errorf("withdraw: exit code %d, want 4 and the instances that did not confirm: %s", code, out)
	}
	pause(inForce - took + watch)
	healed := heal()
	pause(staleAfter + watch)
	all := stop()
	s.expect("before the cut", during(all, cut.Add(-2*time.Second), cut.Add(-time.Second)), anyKind, whole)
	s.expect("with the withdrawn key during the cut", during(all, asked.Add(inForce), healed), anyKind, refusedAsStale)
	s.expect("with the withdrawn key after healing", during(all, healed, time.Now()), anyKind, func(a sending) bool {
		return refusedAsStale(a) || a.reason == "key_invalid" && a.ran == "not-run"
	})
	s.expect("with the withdrawn key once healed", during(all, healed.Add(staleAfter), time.Now()), anyKind, func(a sending) bool {
		return a.reason == "key_invalid" && a.ran == "not-run"
	})
	last := cut
	for _, r := range s.runs() {
		if strings.HasPrefix(r.IdempotencyKey, "withdrawn-") && r.Start.After(last) {
			last = r.Start
		}
	}
	t.Logf("the command took %v; the last request with the key started %v after the cut, %v after the command", took, last.Sub(cut), last.Sub(asked))
	if last.After(asked.Add(inForce)) {
		t.Errorf("a request with the withdrawn key started %v after the withdrawal", last.Sub(asked))
	}
	for _, i := range s.region("astana") {
		if a := s.send(i, order{method: http.MethodGet, path: "/permits/1", account: "almaty-markets"}); !a.answered() {
			t.Errorf("another account after healing: %v", a)
		}
	}
	s.checkOnce(all)
}

// Guards against a failed link between two instances, in both directions or in one, that stops requests at other instances
// or moves ownership although everyone is alive.
func TestLinkIsCut(t *testing.T) {
	for _, c := range []struct {
		name    string
		one     bool
		through func(*launcher.Relay)
	}{{name: "both ways", through: (*launcher.Relay).Cut}, {name: "one way, silent", one: true, through: (*launcher.Relay).Drop}} {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(t)
			s := start(t, launcher.Config{Through: n.through})
			stop := s.mixed()
			s.settle()
			s.unchanged()
			a, b := s.region("almaty")[0].Name, s.region("astana")[0].Name
			link := func(p launcher.Path) bool { return p.From == a && p.To == b || !c.one && p.From == b && p.To == a }
			before := s.written()
			n.on(link, c.through)
			cut := time.Now()
			pause(takeover + watch)
			if n := s.written() - before; n > 0 {
				t.Errorf("%d assignments were written while the link was cut", n)
			}
			n.on(link, (*launcher.Relay).Heal)
			healed := time.Now()
			pause(watch)
			all := stop()
			s.expect("while the link is cut", during(all, cut.Add(routeDeadline), healed), anyKind, whole)
			s.expect("after healing", during(all, healed.Add(time.Second), time.Now()), anyKind, whole)
			s.checkOnce(all)
		})
	}
}

// unchanged waits until the assignments hold all instances: those that join are added at intervals of the freshness, so
// that nothing more comes once none was written for two of them.
func (s *system) unchanged() {
	s.t.Helper()
	n, since := s.written(), time.Now()
	s.eventually(settling, func() bool {
		if k := s.written(); k != n {
			n, since = k, time.Now()
		}
		return time.Since(since) > 2*freshness+time.Second
	})
}

// written returns how many assignments the instances have written.
func (s *system) written() int {
	n := 0
	for _, i := range s.Instances {
		n += strings.Count(s.Log(i.Name), `"event":3002`)
	}
	return n
}

// Guards the failures that come together: the store is down, a region is cut off and an instance of another region dies.
func TestStoreOutageAndRegionCutOff(t *testing.T) {
	testStoreOutageAndRegionCutOff(t)
}

// Guards the service of an account, both parts of whose bucket are held by instances that were lost in a store outage.
func TestAllowanceInStoreOutageAndRegionCutOff(t *testing.T) {
	served := 0
	reasons := map[string]int{}
	for _, a := range testStoreOutageAndRegionCutOff(t) {
		reasons[a.reason]++
		if a.answered() {
			served++
		}
	}
	if served == 0 {
		t.Errorf("no keyed request of the other regions was answered during the outage; reasons: %v", reasons)
	}
}

// testStoreOutageAndRegionCutOff returns the keyed requests in the other regions once they hold proofs again.
func testStoreOutageAndRegionCutOff(t *testing.T) []sending {
	n := newNetwork(t)
	s := start(t, launcher.Config{Through: n.through})
	stop := s.mixed()
	s.settle()
	faults(s, emulator.Faults{Down: true})
	pause(time.Second)
	cut, heal := s.cutOff(n, "astana", unlisted)
	dead := s.Instances[3]
	dead.Process.Kill()
	pause(forgotten + watch)
	faults(s, emulator.Faults{})
	up := time.Now()
	pause(takeover + watch)
	healed := heal()
	s.restart(dead)
	pause(rejoined + watch)
	all := stop()
	alive := func(a sending) bool { return a.instance != dead.Name }
	inCut := during(at(all, "astana"), cut.Add(staleAfter), healed)
	s.expect("keyed in the region that is cut off", inCut, keyed, refusedAsStale)
	s.expect("open in the region without a fault", during(at(all, "shymkent"), cut.Add(staleAfter), up), open, whole)
	rest := during(at(all, "almaty", "shymkent"), cut.Add(forgotten), up)
	s.expect("open in the other regions during the outage", rest, func(a sending) bool { return alive(a) && open(a) }, whole)
	s.expect("keyed in the other regions during the outage", rest, func(a sending) bool { return alive(a) && keyed(a) }, notStale)
	s.expect("all in the other regions after the outage", during(at(all, "almaty", "shymkent"), up.Add(takeover), healed), alive, whole)
	s.expect("everywhere after healing", during(all, healed.Add(rejoined), time.Now()), anyKind, whole)
	s.checkKeyedRuns(all, "astana", cut.Add(staleAfter), healed)
	s.checkOnce(all)
	return slices.DeleteFunc(rest, func(a sending) bool { return !alive(a) || open(a) })
}
