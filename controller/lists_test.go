package controller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

// listed returns n members of some regions.
func listed(n, regions int) []recorder.Member {
	var l []recorder.Member
	for i := range n {
		r := fmt.Sprint("region-", i%regions)
		l = append(l, recorder.Member{Name: fmt.Sprintf("%s-instance-%03d", r, i), Incarnation: 1<<60 + uint64(i)<<40, Region: r, FailureDomain: fmt.Sprintf("%s_%d", r, i%4)})
	}
	return l
}

// rowOf returns a heads row in which the members are those of the fleet and of their regions, and the lists that it
// names, which are none if inline is set.
func rowOf(t testing.TB, version uint64, l []recorder.Member, inline bool) (*messenger.HeadsRow, []*chunker.Tree) {
	scopes := map[string][]recorder.Member{"": l}
	for _, m := range l {
		scopes[m.Region] = append(scopes[m.Region], m)
	}
	h := recorder.Heads{Assignments: map[string]recorder.Assignment{}}
	var trees []*chunker.Tree
	for n, s := range scopes {
		h.Assignments[n] = recorder.Assignment{Epoch: version, Members: s}
		if inline {
			continue
		}
		text, err := recorder.EncodeMembers(s)
		if err != nil {
			t.Fatal(err)
		}
		tree := chunker.New(text, chunker.MemberSizes)
		trees = append(trees, tree)
		h.Assignments[n] = recorder.Assignment{Epoch: version, Count: len(s), Digest: recorder.Digest(tree.Manifest.TextDigest)}
	}
	b, err := h.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return &messenger.HeadsRow{Version: version, Value: b}, trees
}

// putLists writes the rows of member lists.
func putLists(t testing.TB, s storer.Store, trees ...*chunker.Tree) {
	var w []storer.Write
	for _, tree := range trees {
		b, err := tree.Manifest.Encode()
		if err != nil {
			t.Fatal(err)
		}
		w = append(w, storer.Write{Key: recorder.MembersKey(tree.Manifest.TextDigest), Value: b})
		for n, c := range tree.Chunks() {
			w = append(w, storer.Write{Key: recorder.ChunkKey(n), Value: c})
		}
	}
	if _, err := s.Commit(t.Context(), storer.Txn{Writes: w}); err != nil {
		t.Fatal(err)
	}
}

// isList reports whether a read is for member lists.
func isList(keys []string) bool {
	return slices.ContainsFunc(keys, func(k string) bool { return strings.HasPrefix(k, "members/") || strings.HasPrefix(k, "chunk/") })
}

func failLists(keys []string) error {
	if isList(keys) {
		return errInjected
	}
	return nil
}

// afterHalf is a peer that gives half of the chunks that it was asked for at first, and then what f gives.
func afterHalf(f func(ctx context.Context, n int, l [][]byte) ([][]byte, error)) func(context.Context, int, [][]byte) ([][]byte, error) {
	return func(ctx context.Context, n int, l [][]byte) ([][]byte, error) {
		if n == 1 {
			return l[:len(l)/2], nil
		}
		// From its third call on the fault of peerFaults shows.
		return f(ctx, n+1, l)
	}
}

// Guards against a new instance that does not learn the members, or learns others, or fetches chunks again that it has,
// because the peer that told of them dies, falls silent, lacks or corrupts a list or a chunk of it.
func TestListFromFaultyPeer(t *testing.T) {
	members := listed(880, 1)
	row, trees := rowOf(t, 2, members, false)
	tree, count := trees[0], 0
	for range tree.Chunks() {
		count++
	}
	shorter, _ := recorder.EncodeMembers(members[1:])
	other, err := chunker.New(shorter, chunker.MemberSizes).Manifest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	faults := map[string]*holder{"gives another list": {members: other}, "gives no manifest": {members: []byte{1, 2, 3}}}
	for n, f := range peerFaults {
		faults[n] = &holder{chunks: afterHalf(f)}
	}
	for fault, first := range faults {
		for _, source := range []string{"store", "peer while the store is down", "later peer while the store is down"} {
			t.Run(fault+", "+source, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r, second := newRig(t), &holder{heads: row, tree: tree}
					first := &holder{heads: row, tree: tree, members: first.members, chunks: first.chunks}
					r.peers["i1"], r.peers["i2"] = first, second
					fromStore := 0
					r.store.Inject(emulator.MemoryFaults{BeforeRead: func(keys []string) error {
						if source != "store" {
							return errInjected
						}
						if strings.HasPrefix(keys[0], "chunk/") {
							fromStore += len(keys)
						}
						return nil
					}})
					if source == "store" {
						putLists(t, r.store, tree)
					}
					if source == "peer while the store is down" {
						r.hear(t, "i2", 0, 0)
						hearVersion(t, r, "i2", 2)
					}
					start := time.Now()
					r.hear(t, "i1", 2, 0)
					if strings.HasPrefix(source, "later") {
						time.Sleep(5 * time.Second)
						if r.View().Row.Version != 0 || len(r.View().Heads.Assignments) != 0 {
							t.Fatal("the list came from a faulty peer")
						}
						start = time.Now()
						r.hear(t, "i2", 2, 0)
					}
					for r.View().Row.Version != 2 && time.Since(start) < 7*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					took := time.Since(start)
					synctest.Wait()
					for n, a := range r.View().Heads.Assignments {
						if !slices.Equal(a.Members, members) {
							t.Errorf("scope %q has %d members", n, len(a.Members))
						}
					}
					if r.View().Row.Version != 2 || took > 2*time.Second {
						t.Fatalf("version %d after %v:\n%s", r.View().Row.Version, took, r.log.String())
					}
					wrong := fault == "corrupts" || strings.HasPrefix(fault, "gives")
					if noted := strings.Contains(r.log.String(), "2007"); noted != wrong {
						t.Errorf("wrong content noted: %v\n%s", noted, r.log.String())
					}
					kept := 0
					if first.members == nil && source != "peer while the store is down" {
						kept = count / 2
					}
					if second.gave+fromStore > count-kept && source != "peer while the store is down" {
						t.Errorf("%d chunks were fetched again, %d of %d were there", second.gave+fromStore, kept, count)
					}
				})
			})
		}
	}
}

// Guards against a row that is adopted with some of its lists, and against lists that are fetched again once the last one
// is there.
func TestOneListIsLacking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row, trees := rowOf(t, 2, listed(120, 5), false)
		r := newRig(t)
		r.peers["i1"] = &holder{heads: row, members: []byte{1, 2, 3}}
		putLists(t, r.store, trees[1:]...)
		r.hear(t, "i1", 2, 0)
		time.Sleep(5 * time.Second)
		if v := r.View(); v.Row.Version != 0 || len(v.Heads.Assignments) > 0 || len(v.Lists) > 0 {
			t.Fatalf("version %d with %d scopes and %d lists", v.Row.Version, len(v.Heads.Assignments), len(v.Lists))
		}
		putLists(t, r.store, trees[0])
		read := map[string]bool{}
		r.store.Inject(emulator.MemoryFaults{BeforeRead: func(keys []string) error {
			for _, k := range keys {
				if strings.HasPrefix(k, "chunk/") {
					read[k] = true
				}
			}
			return nil
		}})
		r.hear(t, "i1", 2, 0)
		time.Sleep(time.Second)
		if v := r.View(); v.Row.Version != 2 || len(v.Lists) != len(trees) {
			t.Fatalf("version %d with %d lists", v.Row.Version, len(v.Lists))
		}
		for n := range trees[0].Chunks() {
			delete(read, recorder.ChunkKey(n))
		}
		if len(read) > 0 {
			t.Errorf("%d chunks of other lists were fetched again", len(read))
		}
	})
}

// hearVersion has a peer report a heads version that it applies without a fetch from it.
func hearVersion(t testing.TB, r *rig, name string, version uint64) {
	p := r.peers[name]
	r.peers[name] = &holder{heads: &messenger.HeadsRow{}}
	r.hear(t, name, version, 0)
	synctest.Wait()
	r.peers[name] = p
}

// Guards against a row that is adopted in part, serves with another's members or counts as proof, while its lists are
// not to be had: the former row stays in force as far as its proof lasts.
func TestListIsNotToBeHad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := startFleet(ctx, t, 4)
		time.Sleep(30 * time.Second)
		former := f.members[2].View()
		if !former.Heads.Assignments[""].ByDigest() || len(former.Heads.Assignments[""].Members) != 4 {
			t.Fatalf("%+v", former.Heads)
		}
		h := former.Heads.Clone()
		row, trees := rowOf(t, 0, append(slices.Clone(former.Heads.Assignments[""].Members), recorder.Member{Name: "zoe", Region: "a"}), false)
		putLists(t, f.store, trees...)
		f.store.Inject(emulator.MemoryFaults{BeforeRead: failLists})
		f.mute.Store(true)
		// Without the answer of a peer, reads of the store are the only proof.
		f.dead.Store(3)
		f.stops[3]()
		r, err := f.store.Commit(ctx, storer.Txn{
			Checks: []storer.Check{{Key: recorder.HeadsKey, Version: former.Row.Version}},
			Writes: []storer.Write{{Key: recorder.HeadsKey, Value: row.Value}},
		})
		if err != nil || !r.Committed {
			t.Fatal(err)
		}
		for written := time.Now(); time.Since(written) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
			for i, c := range f.members[:3] {
				if v := c.View(); v != former && !reflect.DeepEqual(v.Heads, h) {
					t.Fatalf("member %d after %v: %+v", i, time.Since(written), v.Heads)
				}
				age, valid := time.Since(written), c.Valid(attester.Fleet, time.Now())
				if valid && age > 3*time.Second || !valid && age < 2*time.Second {
					t.Fatalf("member %d: proof of the former row %v after %v", i, valid, age)
				}
			}
		}
		f.store.Inject(emulator.MemoryFaults{})
		f.mute.Store(false)
		time.Sleep(3 * time.Second)
		for i, c := range f.members[:3] {
			if v := c.View(); len(v.Heads.Assignments[""].Members) != 3 || !c.Valid(attester.Fleet, time.Now()) {
				t.Errorf("member %d: %+v", i, v.Heads)
			}
		}
	})
}

// Guards against an author that cannot adopt, or makes twice, what it wrote when the reply was lost and nobody else has
// the lists.
func TestLostReplyOfLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := startFleet(ctx, t, 1)
		var took atomic.Int64
		f.store.Inject(emulator.MemoryFaults{BeforeRead: failLists, AfterCommit: func(_ storer.Txn, r storer.Result) error {
			if r.Committed {
				took.Add(1)
				return errInjected
			}
			return nil
		}})
		time.Sleep(20 * time.Second)
		v := f.members[0].View()
		if a := v.Heads.Assignments["a"]; took.Load() != 1 || a.Epoch != 1 || !a.ByDigest() || len(a.Members) != 1 || !f.members[0].Valid(attester.Fleet, time.Now()) {
			t.Errorf("%d writes took effect; version %d with %+v", took.Load(), v.Row.Version, v.Heads)
		}
	})
}

// earlierRow is the heads row as programs know it that have no member lists.
type earlierRow struct {
	ConfigVersion uint64          `json:"config_version"`
	ConfigDigest  recorder.Digest `json:"config_digest"`
	Assignments   map[string]struct {
		Epoch   uint64            `json:"epoch"`
		Members []recorder.Member `json:"members"`
	} `json:"assignments"`
	Shifts map[string]recorder.ShiftStep `json:"shifts"`
}

// Guards against a row that a daemon of the version before cannot read while it is in the peer set, and against lists
// that are not in the store with the row that names them.
func TestEarlierProgramInThePeerSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		f := startFleet(ctx, t, 4)
		f.earlier.Store(2)
		check := func(when string, members int, byDigest bool) recorder.Heads {
			t.Helper()
			rows, err := f.store.Read(ctx, recorder.HeadsKey)
			if err != nil {
				t.Fatal(err)
			}
			d := json.NewDecoder(bytes.NewReader(rows[0].Value))
			d.DisallowUnknownFields()
			if err := d.Decode(&earlierRow{}); (err != nil) != byDigest {
				t.Fatalf("%s: a program of the version before reads %s: %v", when, rows[0].Value, err)
			}
			h, err := recorder.DecodeHeads(rows[0].Value)
			if err != nil {
				t.Fatal(err)
			}
			for n, a := range h.Assignments {
				if byDigest {
					w := collector.Text{Digest: chunker.Name(a.Digest)}
					l, err := collector.New(collector.Config{}).Collect(ctx, w, collector.MembersFromStore(f.store, w.Digest))
					if err != nil {
						t.Fatal(err)
					}
					if a, err = a.WithMembers(l.Text); err != nil {
						t.Fatal(err)
					}
				}
				if got := f.members[0].View().Heads.Assignments[n].Members; len(got) != members || !slices.Equal(got, a.Members) {
					t.Fatalf("%s: %v, want %v", when, got, a.Members)
				}
			}
			return h
		}
		time.Sleep(30 * time.Second)
		before := check("at first", 4, false)
		f.earlier.Store(-1)
		time.Sleep(2 * time.Second)
		check("after the update", 4, true)
		f.earlier.Store(0)
		// The member that others take for an earlier program has just written the row by digest and would do so again after 5 s.
		time.Sleep(2 * time.Second)
		check("after the return of a daemon", 4, false)
		f.earlier.Store(-1)
		time.Sleep(6 * time.Second)
		version := f.members[0].View().Row.Version
		f.booting.Store(true)
		time.Sleep(10 * time.Second)
		if h := check("while another is listed", 4, true); h.Assignments[""].Epoch != before.Assignments[""].Epoch {
			t.Errorf("epoch %d became %d without a change of members", before.Assignments[""].Epoch, h.Assignments[""].Epoch)
		}
		if v := f.members[0].View().Row.Version; v != version {
			t.Errorf("version %d became %d for an instance that is only listed", version, v)
		}
		f.dead.Store(3)
		f.stops[3]()
		time.Sleep(5 * time.Second)
		check("after a death while another is listed", 3, false)
		f.booting.Store(false)
		time.Sleep(20 * time.Second)
		check("at last", 3, true)
	})
}

// changed returns the members with another incarnation of the kth.
func changedMember(l []recorder.Member, k int) []recorder.Member {
	l = slices.Clone(l)
	l[k%len(l)].Incarnation++
	return l
}

func without(l []recorder.Member, domain string) []recorder.Member {
	return slices.DeleteFunc(l, func(m recorder.Member) bool { return m.FailureDomain == domain })
}

// learner is an instance that learns of rows from an author over HTTP on the loopback interface, and the bytes of
// their connection both ways.
type learner struct {
	*rig
	author    *rig
	bytes     *atomic.Int64
	transport *http.Transport
	url       string
	version   uint64
}

func newLearner(t testing.TB) *learner {
	l := &learner{author: newRig(t), bytes: &atomic.Int64{}}
	s := httptest.NewServer(messenger.NewPeerServer(&service{control: l.author.Controller}))
	l.transport = countingTransport(l.bytes)
	t.Cleanup(func() {
		l.transport.CloseIdleConnections()
		s.Close()
	})
	l.url = s.URL
	l.renew(t)
	return l
}

func (l *learner) renew(t testing.TB) {
	l.rig = newRig(t)
	l.peers["i1"] = messenger.NewPeerProtobufClient(l.url, &http.Client{Transport: l.transport})
}

// publish has the author adopt the members.
func (l *learner) publish(t testing.TB, members []recorder.Member, inline bool) {
	l.version++
	row, trees := rowOf(t, l.version, members, inline)
	putLists(t, l.author.store, trees...)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Publish waits for peers after the adoption.
	go func() {
		_, _ = l.author.Publish(ctx, operator.Commit{Heads: storer.Row{Key: recorder.HeadsKey, Version: row.Version, Value: row.Value}})
	}()
	waitFor(t, l.author.Controller, l.version)
}

// learn returns the bytes after which the instance has adopted the author's row.
func (l *learner) learn(t testing.TB) int64 {
	before := l.bytes.Load()
	l.beatUntilAdopted(t, "i1", l.version, 0)
	return l.bytes.Load() - before
}

// Guards against an instance that starts while the store is down and does not learn the members of all scopes from a
// peer, or does not pass the lists on.
func TestNewInstanceWithoutStore(t *testing.T) {
	l, members := newLearner(t), listed(120, 5)
	l.store.Inject(emulator.MemoryFaults{BeforeRead: func([]string) error { return errInjected }})
	l.publish(t, members, false)
	l.learn(t)
	want, _ := rowOf(t, l.version, members, true)
	h, err := recorder.DecodeHeads(want.Value)
	if err != nil {
		t.Fatal(err)
	}
	for n, a := range l.View().Heads.Assignments {
		slices.SortFunc(h.Assignments[n].Members, func(a, b recorder.Member) int { return strings.Compare(a.Name, b.Name) })
		if a.Epoch != l.version || !slices.Equal(a.Members, h.Assignments[n].Members) {
			t.Errorf("scope %q: %d members in epoch %d", n, len(a.Members), a.Epoch)
		}
		if r, err := l.FetchMembers(&messenger.FetchMembersRequest{Digest: a.Digest[:]}); r == nil || err != nil {
			t.Errorf("scope %q: the list is not passed on: %v", n, err)
		}
	}
	if n := len(l.View().Heads.Assignments); n != len(h.Assignments) {
		t.Errorf("%d scopes, want %d", n, len(h.Assignments))
	}
}

// Guards against reads of the heads row that take more than half of the 2,000 reads a second of the store (design 2.7).
func TestReadsOfManyInstances(t *testing.T) {
	for _, s := range fleets {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := startFleet(ctx, t, 1)
			row, trees := rowOf(t, 0, listed(s.instances, s.regions), false)
			putLists(t, f.store, trees...)
			if _, err := f.store.Commit(ctx, storer.Txn{Writes: []storer.Write{{Key: recorder.HeadsKey, Value: row.Value}}}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			var n atomic.Int64
			f.store.Inject(emulator.MemoryFaults{BeforeRead: func([]string) error { n.Add(1); return nil }})
			// A new instance changes no assignment for 13 s.
			time.Sleep(10 * time.Second)
			reads := int(n.Load())
			if limit := 1_000 * 10 / s.instances; reads > limit || reads < 10 || !f.members[0].Valid(attester.Region, time.Now()) {
				t.Errorf("%d instances: each reads %d times in 10 s, the limit is %d", s.instances, reads, limit)
			}
		})
	}
}

var fleets = []struct{ instances, regions int }{{7, 3}, {120, 5}, {880, 10}}

// Guards against assignments that take more than a tenth of the 3 KB/s of an instance, with 364 changes of one member and
// 2,200 changes of the configuration a day, each of which is a new row (design 1.7), and against lists that cost a new
// instance more than the row that they replace.
func TestChangeOfMembersFitsTheTarget(t *testing.T) {
	const (
		perDay             = 3_000 * 86_400 / 10
		assignmentChanges  = 364
		configChanges      = 2_200
		changesThatAreSeen = 8
	)
	for _, s := range fleets {
		l, members := newLearner(t), listed(s.instances, s.regions)
		l.publish(t, members, false)
		fresh := l.learn(t)
		if inline, _ := rowOf(t, 1, members, true); fresh > int64(len(inline.Value)) && s.instances > 100 {
			t.Errorf("%d instances: a new instance fetches %d bytes, the row in the old form has %d", s.instances, fresh, len(inline.Value))
		}
		var change int64
		for i := range changesThatAreSeen {
			members = changedMember(members, i*s.instances/changesThatAreSeen)
			l.publish(t, members, false)
			change += l.learn(t)
		}
		l.publish(t, members, false)
		sameMembers := l.learn(t)
		if day := change/changesThatAreSeen*assignmentChanges + sameMembers*configChanges; day > perDay {
			t.Errorf("%d instances: %d bytes a day, the limit is %d", s.instances, day, perDay)
		}
	}
}

// BenchmarkFetchMembers has an instance learn from a peer of a row in either form: as a new instance, after a change of
// one member, after the loss or return of a failure domain, and after a change of something else. It reports the bytes on
// the connection, both ways.
func BenchmarkFetchMembers(b *testing.B) {
	for _, s := range fleets {
		for _, form := range []string{"inline", "digest"} {
			for _, kind := range []string{"new", "change", "domain", "same"} {
				b.Run(fmt.Sprintf("%s/%s/%d", form, kind, s.instances), func(b *testing.B) {
					l, members, bytes := newLearner(b), listed(s.instances, s.regions), int64(0)
					l.publish(b, members, form == "inline")
					l.learn(b)
					b.ReportAllocs()
					for i := 0; b.Loop(); i++ {
						b.StopTimer()
						switch kind {
						case "new":
							l.renew(b)
						case "change":
							members = changedMember(members, i*37)
						case "domain":
							members = listed(s.instances, s.regions)
							if i%2 == 0 {
								members = without(members, "region-1_1")
							}
						}
						l.publish(b, members, form == "inline")
						// The lists of earlier rounds would be found there.
						l.Collector().Forget()
						b.StartTimer()
						bytes += l.learn(b)
					}
					b.ReportMetric(float64(bytes)/float64(b.N), "B/learn")
				})
			}
		}
	}
}
