package collector_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/storer"
)

var errInjected = errors.New("injected fault")

// tree has a text of n lines; with 20,000 its list of names is split.
func tree(n int) *chunker.Tree {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "line %d of a text that is long enough\n", i)
	}
	return chunker.New([]byte(b.String()), chunker.DefaultSizes)
}

// fake is a source with faults.
type fake struct {
	name string
	tree *chunker.Tree
	// calls to Chunks succeed until there were so many; then fault is what happens.
	good  int
	fault fault
	calls int
	asked int
	gave  int
	bytes int
}

type fault string

const (
	none     fault = ""
	fails    fault = "fails"
	hangs    fault = "hangs"
	lacks    fault = "lacks"
	corrupts fault = "corrupts"
	strange  fault = "gives what was not asked for"
	huge     fault = "gives chunks beyond the bound"
	noText   fault = "has no manifest"
	other    fault = "has the manifest of another text"
	mixed    fault = "has a manifest that does not fit its digest"
	garbage  fault = "has a manifest that cannot be decoded"
)

func (f *fake) Name() string { return f.name }

func (f *fake) Manifest(context.Context, uint64) ([]byte, error) {
	m := f.tree.Manifest
	switch f.fault {
	case noText:
		return nil, errInjected
	case other:
		m = tree(7).Manifest
	case mixed:
		m.Names = slices.Clone(m.Names)
		slices.Reverse(m.Names)
	case garbage:
		return []byte{1, 2, 3}, nil
	default:
	}
	return m.Encode()
}

func (f *fake) Chunks(ctx context.Context, names []chunker.Name) ([][]byte, error) {
	f.calls++
	f.asked += len(names)
	l := collector.Pick(names, f.tree.Chunk)
	if f.calls > f.good {
		switch f.fault {
		case fails:
			return nil, errInjected
		case hangs:
			<-ctx.Done()
			return nil, ctx.Err()
		case lacks:
			l = nil
		case corrupts:
			b := slices.Clone(l[len(l)-1])
			b[len(b)/2]++
			l[len(l)-1] = b
		case strange:
			l = append(l, []byte("another chunk"))
		case huge:
			l = append(l, make([]byte, chunker.MaxChunk+1))
		default:
		}
	}
	f.gave += len(l)
	for _, b := range l {
		f.bytes += len(b)
	}
	return l, nil
}

// Guards against a collection that one faulty source spoils although another one has the text.
func TestFaultySource(t *testing.T) {
	text := tree(20_000)
	for _, f := range []fault{none, fails, hangs, lacks, corrupts, strange, huge, noText, other, mixed, garbage} {
		for _, good := range []int{0, 1, 2} {
			t.Run(fmt.Sprint(f, good), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					first, second := &fake{name: "first", tree: text, fault: f, good: good}, &fake{name: "second", tree: text}
					var wrong []string
					c := collector.New(collector.Config{Wrong: func(s string, _ error) { wrong = append(wrong, s) }})
					start := time.Now()
					got, err := c.Collect(t.Context(), wanted(text), first, second)
					if err != nil || string(got.Text) != string(text.Text) {
						t.Fatalf("another text: %v", err)
					}
					if d := time.Since(start); d > collector.DefaultCallTimeout {
						t.Errorf("it took %v", d)
					}
					noted := slices.Contains([]fault{corrupts, strange, huge, other, mixed, garbage}, f)
					if noted != slices.Equal(wrong, []string{"first"}) {
						t.Errorf("wrong content was reported of %v", wrong)
					}
					// What the first source gave before its fault is not fetched again.
					if whole := countChunks(text); f != none && f != mixed && second.gave+first.gave > whole+collector.BatchNames {
						t.Errorf("%d and %d chunks were fetched, of %d", first.gave, second.gave, whole)
					}
				})
			})
		}
	}
}

func wanted(t *chunker.Tree) collector.Text {
	return collector.Text{Version: 1, Digest: t.Manifest.TextDigest}
}

func countChunks(t *chunker.Tree) int {
	n := 0
	for range t.Chunks() {
		n++
	}
	return n
}

// Guards against a collection that starts anew after it broke off, and one that fetches what the caller holds.
func TestContinues(t *testing.T) {
	text := tree(20_000)
	c := collector.New(collector.Config{})
	dying := &fake{name: "dying", tree: text, fault: fails, good: 2}
	if _, err := c.Collect(t.Context(), wanted(text), dying); !errors.Is(err, collector.ErrIncomplete) || !errors.Is(err, errInjected) {
		t.Fatalf("error %v", err)
	}
	if dying.gave == 0 {
		t.Fatal("the source gave nothing")
	}
	w := wanted(text)
	w.Held = tree(20_000 - 1).Chunk
	live := &fake{name: "live", tree: text}
	if _, err := c.Collect(t.Context(), w, live); err != nil {
		t.Fatal(err)
	}
	// The last line was added: its chunk, the list that names it, and no more.
	if live.gave > 2 {
		t.Errorf("%d chunks were fetched for one more line", live.gave)
	}
	again := &fake{name: "again", tree: text}
	if _, err := c.Collect(t.Context(), wanted(text), again); err != nil {
		t.Fatal(err)
	}
	if want := countChunks(text) - dying.gave - live.gave; again.gave != want {
		t.Errorf("%d chunks were fetched, want %d", again.gave, want)
	}
	c.Forget()
	anew := &fake{name: "anew", tree: text}
	if _, err := c.Collect(t.Context(), wanted(text), anew); err != nil {
		t.Fatal(err)
	}
	if anew.gave != countChunks(text) {
		t.Errorf("%d chunks were fetched after all were forgotten", anew.gave)
	}
}

// Guards against chunks that are kept beyond the bound after fetches that broke off.
func TestKeepsWithinBound(t *testing.T) {
	text := tree(200_000)
	for _, bound := range []int{1, 50_000, 200_000, 1 << 20} {
		c := collector.New(collector.Config{CacheBytes: bound})
		for good := range 4 {
			if _, err := c.Collect(t.Context(), wanted(text), &fake{name: "dying", tree: text, fault: fails, good: good}); !errors.Is(err, collector.ErrIncomplete) {
				t.Fatalf("error %v", err)
			}
		}
		live, all := &fake{name: "live", tree: text}, 0
		for _, b := range text.Chunks() {
			all += len(b)
		}
		if _, err := c.Collect(t.Context(), wanted(text), live); err != nil {
			t.Fatal(err)
		}
		if kept := all - live.bytes; kept > bound || kept == 0 && bound > chunker.MaxChunk {
			t.Errorf("%d bytes were kept, the bound is %d", kept, bound)
		}
	}
}

// Guards against a text that cannot be collected because the cache is small or sources have a part of it each, and
// against batches beyond their bounds.
func TestSourcesWithParts(t *testing.T) {
	text := tree(20_000)
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(1, 4).Draw(t, "parts")
		var sources []collector.Source
		for i := range parts {
			sources = append(sources, &part{fake: fake{name: fmt.Sprint(i), tree: text}, index: i, of: parts})
		}
		c := collector.New(collector.Config{CacheBytes: rapid.IntRange(1, 1<<20).Draw(t, "cache")})
		got, err := c.Collect(context.Background(), wanted(text), sources...)
		if err != nil || string(got.Text) != string(text.Text) {
			t.Fatalf("another text: %v", err)
		}
		for _, s := range sources {
			if p := s.(*part); p.most > collector.BatchNames {
				t.Fatalf("%d chunks were asked for at once", p.most)
			}
		}
	})
}

// part is a source that has the chunks whose names belong to it.
type part struct {
	fake
	index, of, most int
}

func (p *part) Chunks(_ context.Context, names []chunker.Name) ([][]byte, error) {
	p.most = max(p.most, len(names))
	return collector.Pick(names, func(n chunker.Name) ([]byte, bool) {
		b, ok := p.tree.Chunk(n)
		return b, ok && int(n[0])%p.of == p.index
	}), nil
}

// Guards against versions that were written before there were manifests and can no longer be read.
func TestFromStore(t *testing.T) {
	text := tree(2_000)
	m := emulator.NewMemory()
	manifest, err := text.Manifest.Encode()
	if err != nil {
		t.Fatal(err)
	}
	w := []storer.Write{{Key: recorder.ConfigKey(1), Value: text.Text}, {Key: recorder.ManifestKey(2), Value: manifest}}
	for n, b := range text.Chunks() {
		w = append(w, storer.Write{Key: recorder.ChunkKey(n), Value: b})
	}
	if _, err := m.Commit(t.Context(), storer.Txn{Writes: w}); err != nil {
		t.Fatal(err)
	}
	for v := range uint64(4) {
		got, err := collector.New(collector.Config{}).Collect(t.Context(), collector.Text{Version: v}, collector.FromStore(m))
		exists := v == 1 || v == 2
		if exists && (err != nil || string(got.Text) != string(text.Text)) {
			t.Errorf("version %d: %v", v, err)
		}
		if !exists && !errors.Is(err, collector.ErrLacking) {
			t.Errorf("version %d, which does not exist: %v", v, err)
		}
	}
}
