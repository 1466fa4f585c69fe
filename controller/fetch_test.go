package controller_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/tracker"
)

var errInjected = errors.New("injected fault")

// holder is a peer that applies a configuration or a member list; chunks is what it does when it is asked for the nth time.
type holder struct {
	messenger.Peer
	heads *messenger.HeadsRow
	tree  *chunker.Tree
	// members is the manifest that it gives of a member list, if not that of tree.
	members []byte
	chunks  func(ctx context.Context, n int, l [][]byte) ([][]byte, error)

	mu    sync.Mutex
	calls int
	gave  int
}

func (h *holder) FetchHeads(context.Context, *messenger.FetchHeadsRequest) (*messenger.HeadsRow, error) {
	return h.heads, nil
}

func (h *holder) FetchManifest(_ context.Context, r *messenger.FetchManifestRequest) (*messenger.ManifestRow, error) {
	b, err := h.tree.Manifest.Encode()
	return &messenger.ManifestRow{Version: r.Version, Value: b}, err
}

func (h *holder) FetchMembers(context.Context, *messenger.FetchMembersRequest) (*messenger.MembersRow, error) {
	if h.members != nil {
		return &messenger.MembersRow{Value: h.members}, nil
	}
	b, err := h.tree.Manifest.Encode()
	return &messenger.MembersRow{Value: b}, err
}

func (h *holder) FetchChunks(ctx context.Context, r *messenger.FetchChunksRequest) (*messenger.Chunks, error) {
	a, err := collector.Answer(h.tree.Chunk, r)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	if h.chunks != nil {
		if a.Chunks, err = h.chunks(ctx, h.calls, a.Chunks); err != nil {
			return nil, err
		}
	}
	h.gave += len(a.Chunks)
	return a, nil
}

// dialer finds the peers by name.
type dialer map[string]messenger.Peer

func (d dialer) Peer(i tracker.Instance) messenger.Peer { return d[i.Name] }

// rig is an instance i0 among peers, with a store in memory.
type rig struct {
	*controller.Controller
	store *emulator.Memory
	peers dialer
	log   bytes.Buffer
}

func newRig(t testing.TB) *rig {
	r := &rig{store: emulator.NewMemory(), peers: dialer{}}
	l, err := logger.New(logger.Config{Level: "warn", Format: "json", Writer: &r.log})
	if err != nil {
		t.Fatal(err)
	}
	r.Controller, err = controller.New(controller.Config{
		Self: tracker.Instance{Name: "i0", Incarnation: 1, Region: "west"},
		Timing: loader.Timing{
			Freshness: 3 * time.Second, Heartbeat: 500 * time.Millisecond, Suspicion: 1500 * time.Millisecond,
			ListLag: 10 * time.Second, ListAge: 3 * time.Second,
		},
		Store: r.store, StoreTimeout: time.Second, Dialer: r.peers, Hooks: noHooks{}, Log: l, Clock: time.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// hear has a peer announce a heads version and the configuration that it applies.
func (r *rig) hear(t testing.TB, name string, heads, config uint64) {
	m := &messenger.Member{Name: name, Incarnation: 1, Region: "west", FailureDomain: "d", CallerAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", State: "active"}
	if _, err := r.Heartbeat(t.Context(), &messenger.Beat{From: m, HeadsVersion: heads, ConfigVersion: config}); err != nil {
		t.Fatal(err)
	}
}

func headsOf(t testing.TB, tree *chunker.Tree) *messenger.HeadsRow {
	b, err := recorder.Heads{ConfigVersion: 2, ConfigDigest: recorder.Digest(tree.Manifest.TextDigest)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return &messenger.HeadsRow{Version: 2, Value: b}
}

// fill writes a version as operator does, in one transaction.
func fill(t testing.TB, s storer.Store, tree *chunker.Tree) {
	b, err := tree.Manifest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	w := []storer.Write{{Key: recorder.ManifestKey(2), Value: b}}
	for n, c := range tree.Chunks() {
		w = append(w, storer.Write{Key: recorder.ChunkKey(n), Value: c})
	}
	if _, err := s.Commit(t.Context(), storer.Txn{Writes: w}); err != nil {
		t.Fatal(err)
	}
}

// What a peer does after it has given its first chunks.
var peerFaults = map[string]func(ctx context.Context, n int, l [][]byte) ([][]byte, error){
	"dies": func(_ context.Context, n int, l [][]byte) ([][]byte, error) {
		if n > 2 {
			return nil, errInjected
		}
		return l, nil
	},
	"hangs": func(ctx context.Context, n int, l [][]byte) ([][]byte, error) {
		if n > 2 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return l, nil
	},
	"lacks": func(_ context.Context, n int, l [][]byte) ([][]byte, error) {
		if n > 2 {
			return nil, nil
		}
		return l, nil
	},
	"corrupts": func(_ context.Context, n int, l [][]byte) ([][]byte, error) {
		if n > 2 {
			l[0] = slices.Concat(l[0][1:], l[0][:1])
		}
		return l, nil
	},
}

// Guards against work that piles up while peers report a version that nobody can give: each heartbeat started a fetch that
// waited for those before it, and an answer counted as heard only after them.
func TestVersionThatNobodyCanGive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tree := chunker.New(configuration(t, 100), chunker.DefaultSizes)
		r := newRig(t)
		r.store.Inject(emulator.MemoryFaults{BeforeRead: func([]string) error { return errInjected }})
		peers := []string{"i1", "i2", "i3"}
		for _, n := range peers {
			hang := func(ctx context.Context, _ int, _ [][]byte) ([][]byte, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			r.peers[n] = &holder{heads: headsOf(t, tree), tree: tree, chunks: hang}
		}
		base, most := runtime.NumGoroutine(), 0
		for range 120 {
			for _, n := range peers {
				r.hear(t, n, 2, 2)
			}
			time.Sleep(500 * time.Millisecond)
			most = max(most, runtime.NumGoroutine()-base)
		}
		// One fetch at a time has a goroutine of its own, and one for each timeout.
		if most > 5 {
			t.Errorf("up to %d goroutines for %d peers", most, len(peers))
		}
		time.Sleep(10 * time.Second)
	})
}

// Guards against a change that does not come into force within 7 s, or with another text, because the peer that told
// of it dies, falls silent, lacks a chunk or gives a wrong one in the middle of the fetch.
func TestFetchFromFaultyPeer(t *testing.T) {
	tree := chunker.New(configuration(t, 16_000), chunker.DefaultSizes)
	for fault, f := range peerFaults {
		for _, other := range []string{"store", "peer while the store is down", "later peer while the store is down"} {
			t.Run(fault+", "+other, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := newRig(t)
					first := &holder{heads: headsOf(t, tree), tree: tree, chunks: f}
					second := &holder{heads: first.heads, tree: tree}
					r.peers["i1"], r.peers["i2"] = first, second
					switch other {
					case "store":
						fill(t, r.store, tree)
					default:
						r.store.Inject(emulator.MemoryFaults{BeforeRead: func([]string) error { return errInjected }})
					}
					if other == "peer while the store is down" {
						r.hear(t, "i2", 0, 2)
					}
					start := time.Now()
					r.hear(t, "i1", 2, 2)
					if strings.HasPrefix(other, "later") {
						time.Sleep(2 * time.Second)
						if r.View().Row.Version != 0 {
							t.Fatal("the whole text came from a faulty peer")
						}
						r.hear(t, "i2", 2, 2)
					}
					for r.View().Row.Version != 2 && time.Since(start) < 7*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					synctest.Wait()
					if got := r.View(); got.Row.Version != 2 || !bytes.Equal(got.Text, tree.Text) || len(got.Config.Blocks) != 16_000 {
						t.Fatalf("version %d after %v:\n%s", got.Row.Version, time.Since(start), r.log.String())
					}
					if noted := strings.Contains(r.log.String(), "2007"); noted != (fault == "corrupts") {
						t.Errorf("wrong content noted: %v\n%s", noted, r.log.String())
					}
					all := 0
					for range tree.Chunks() {
						all++
					}
					if other != "store" && first.gave+second.gave > all+collector.BatchNames {
						t.Errorf("%d and %d chunks were fetched of %d", first.gave, second.gave, all)
					}
					if first.gave == 0 {
						t.Error("the first peer gave nothing")
					}
				})
			})
		}
	}
}

// Guards against proofs and fetches from an own program that the programs before could not answer.
func TestFetchFromEarlierProgram(t *testing.T) {
	tree := chunker.New(configuration(t, 100), chunker.DefaultSizes)
	r := newRig(t)
	s := httptest.NewServer(earlier{Handler: messenger.NewPeerServer(&service{heads: headsOf(t, tree), text: tree.Text})})
	defer s.Close()
	r.peers["i1"] = messenger.NewPeerProtobufClient(s.URL, s.Client())
	r.hear(t, "i1", 2, 2)
	waitFor(t, r.Controller, 2)
	if !bytes.Equal(r.View().Text, tree.Text) {
		t.Fatal("another text")
	}
}

// earlier answers as a program that does not know the methods for chunks.
type earlier struct{ http.Handler }

func (e earlier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.URL.Path = strings.NewReplacer("FetchManifest", "NoSuchMethod", "FetchChunks", "NoSuchMethod").Replace(r.URL.Path)
	e.Handler.ServeHTTP(w, r)
}

// service serves the configuration of a controller, or a text.
type service struct {
	messenger.Peer
	control *controller.Controller
	heads   *messenger.HeadsRow
	text    []byte
}

func (s *service) FetchHeads(context.Context, *messenger.FetchHeadsRequest) (*messenger.HeadsRow, error) {
	if s.control == nil {
		return s.heads, nil
	}
	return s.control.FetchHeads(), nil
}

func (s *service) FetchConfiguration(_ context.Context, r *messenger.FetchConfigurationRequest) (*messenger.ConfigurationText, error) {
	if s.control == nil {
		return &messenger.ConfigurationText{Version: r.Version, Text: s.text}, nil
	}
	return s.control.FetchConfiguration(r.Version), nil
}

func (s *service) FetchManifest(_ context.Context, r *messenger.FetchManifestRequest) (*messenger.ManifestRow, error) {
	return s.control.FetchManifest(r.Version)
}

func (s *service) FetchMembers(_ context.Context, r *messenger.FetchMembersRequest) (*messenger.MembersRow, error) {
	return s.control.FetchMembers(r)
}

func (s *service) FetchChunks(_ context.Context, r *messenger.FetchChunksRequest) (*messenger.Chunks, error) {
	return s.control.FetchChunks(r)
}

// waitFor polls, since the processes of this machine share its time.
func waitFor(t testing.TB, c *controller.Controller, version uint64) {
	for deadline := time.Now().Add(time.Minute); c.View().Row.Version != version; {
		if time.Now().After(deadline) {
			t.Fatalf("version %d was not adopted", version)
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// beatUntilAdopted has a peer announce a version in each heartbeat until it is adopted, since the one that arrives while
// an earlier fetch ends has no effect.
func (r *rig) beatUntilAdopted(t testing.TB, name string, heads, config uint64) {
	var last time.Time
	for deadline := time.Now().Add(time.Minute); r.View().Row.Version != heads; time.Sleep(100 * time.Microsecond) {
		now := time.Now()
		if now.After(deadline) {
			t.Fatalf("version %d was not adopted", heads)
		}
		if now.Sub(last) >= 500*time.Millisecond {
			r.hear(t, name, heads, config)
			last = now
		}
	}
}

// counted counts the bytes of connections, both ways.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func countingTransport(p *atomic.Int64) *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return counted{Conn: c, bytes: p}, err
	}}
}

// BenchmarkFetch has an instance learn of a configuration from a peer over HTTP on the loopback interface and adopt it:
// as a new instance, and after a change of one block. It reports the bytes on the connection, both ways.
func BenchmarkFetch(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		for _, kind := range []string{"new", "change"} {
			b.Run(fmt.Sprintf("%s/%d", kind, n), func(b *testing.B) {
				text := configuration(b, n)
				changed := bytes.Replace(text, []byte(blockText(n/2, "2.0")), []byte(blockText(n/2, "3.0")), 1)
				if bytes.Equal(text, changed) {
					b.Fatal("nothing was changed")
				}
				author, p := newController(b), &atomic.Int64{}
				s := httptest.NewServer(messenger.NewPeerServer(&service{control: author}))
				defer s.Close()
				transport := countingTransport(p)
				defer transport.CloseIdleConnections()
				r := newRig(b)
				r.peers["i1"] = messenger.NewPeerProtobufClient(s.URL, &http.Client{Transport: transport})
				version, bytes := uint64(1), int64(0)
				adopt(b, author, text, version, version)
				r.beatUntilAdopted(b, "i1", version, version)
				for b.Loop() {
					b.StopTimer()
					version++
					t := [][]byte{text, changed}[version%2]
					if kind == "new" {
						r = newRig(b)
						r.peers["i1"] = messenger.NewPeerProtobufClient(s.URL, &http.Client{Transport: transport})
					}
					adopt(b, author, t, version, version)
					before := p.Load()
					b.StartTimer()
					r.beatUntilAdopted(b, "i1", version, version)
					bytes += p.Load() - before
				}
				b.ReportMetric(float64(bytes)/float64(b.N), "B/change")
			})
		}
	}
}

func blockText(i int, weight string) string {
	return fmt.Sprintf("prefix = '100.%d.%d.%d/32'\nregion = 'west'\nweight = %s", i>>16, i>>8&255, i&255, weight)
}
