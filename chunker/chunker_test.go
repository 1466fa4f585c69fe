package chunker_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/chunker"
)

// small sizes give many chunks and deep manifests from short texts.
var small = chunker.Sizes{Min: 64, Mean: 128, Max: 512}

func drawText(t *rapid.T) []byte {
	line := rapid.Custom(func(t *rapid.T) string {
		// A line that is longer than a chunk must be cut; empty and equal lines have equal hashes.
		n := rapid.SampledFrom([]int{0, 1, 5, 20, 60, 700}).Draw(t, "length")
		return strings.Repeat(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "letter"), n)
	})
	l := rapid.SliceOfN(line, 0, 40).Draw(t, "lines")
	// Repeated, so that some texts need lists of names below the manifest.
	s := strings.Join(l, "\n")
	n := rapid.SampledFrom([]int{1, 1, 3, 200}).Draw(t, "times")
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s\n%d\n", s, i)
	}
	return []byte(strings.TrimSuffix(b.String(), rapid.SampledFrom([]string{"", "\n"}).Draw(t, "end")))
}

// Guards against chunks that lose bytes, pass their bounds or end within a line that fits into a chunk.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawText(t)
		l := chunker.Split(text, small)
		if !bytes.Equal(bytes.Join(l, nil), text) {
			t.Fatal("the chunks do not form the text")
		}
		for i, c := range l {
			last := i == len(l)-1
			if len(c) == 0 || len(c) > small.Max || len(c) < small.Min && !last {
				t.Fatalf("chunk %d of %d has %d bytes", i, len(l), len(c))
			}
			// A chunk that was cut within a line is one whose line end lies beyond the bounds.
			if c[len(c)-1] != '\n' && !last && len(c) != small.Max {
				t.Fatalf("chunk %d ends within a line", i)
			}
		}
	})
}

// Guards against a tree that cannot be rebuilt from its manifest and chunks, whatever was held before.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawText(t)
		tree := chunker.New(text, small)
		b, err := tree.Manifest.Encode()
		if err != nil {
			t.Fatal(err)
		}
		m, err := chunker.DecodeManifest(b)
		if err != nil {
			t.Fatal(err)
		}
		held := map[chunker.Name][]byte{}
		for n, c := range tree.Chunks() {
			if rapid.IntRange(0, 3).Draw(t, "held") == 0 {
				held[n] = c
			}
		}
		get := func(n chunker.Name) ([]byte, bool) { c, ok := held[n]; return c, ok }
		for rounds := 0; ; rounds++ {
			l, err := m.Missing(get)
			if err != nil || rounds > m.Depth {
				t.Fatalf("round %d: %v", rounds, err)
			}
			if len(l) == 0 {
				break
			}
			if _, err := chunker.Join(m, get); !errors.Is(err, chunker.ErrMissing) {
				t.Fatalf("joined without %d chunks: %v", len(l), err)
			}
			for _, n := range l {
				held[n], _ = tree.Chunk(n)
			}
		}
		got, err := chunker.Join(m, get)
		if err != nil || !bytes.Equal(got.Text, text) {
			t.Fatalf("another text: %v", err)
		}
		for n, c := range tree.Chunks() {
			if d, ok := got.Chunk(n); !ok || !bytes.Equal(c, d) || chunker.NameOf(d) != n {
				t.Fatal("the joined tree lacks a chunk")
			}
		}
	})
}

// Guards against a wrong text, and against manifests that make an instance use memory without end.
func TestJoinRefuses(t *testing.T) {
	text := blocks(100, unchanged)
	tree := chunker.New(text, chunker.DefaultSizes)
	page := chunker.EncodeNames([]chunker.Name{{1}, {2}})
	get := func(n chunker.Name) ([]byte, bool) {
		if n == chunker.NameOf(page) {
			return page, true
		}
		return tree.Chunk(n)
	}
	for _, c := range []struct {
		name string
		edit func(m *chunker.Manifest)
	}{
		{"another digest", func(m *chunker.Manifest) { m.TextDigest[0]++ }},
		{"another size", func(m *chunker.Manifest) { m.TextSize++ }},
		{"order", func(m *chunker.Manifest) { m.Names[0], m.Names[len(m.Names)-1] = m.Names[len(m.Names)-1], m.Names[0] }},
		{"one chunk more", func(m *chunker.Manifest) { m.Names = append(m.Names, m.Names[0]) }},
		{"one chunk less", func(m *chunker.Manifest) { m.Names = m.Names[1:] }},
		{"text taken for names", func(m *chunker.Manifest) { m.Depth = 2 }},
		{"repeated list", func(m *chunker.Manifest) {
			m.Depth, m.TextSize = 2, 3*len(page)
			m.Names = []chunker.Name{chunker.NameOf(page), chunker.NameOf(page), chunker.NameOf(page), chunker.NameOf(page)}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := tree.Manifest
			m.Names = append([]chunker.Name(nil), m.Names...)
			c.edit(&m)
			l, err := m.Missing(get)
			if err == nil && len(l) > 0 {
				t.Fatalf("%d chunks are to be fetched", len(l))
			}
			if err == nil {
				_, err = chunker.Join(m, get)
			}
			if !errors.Is(err, chunker.ErrManifest) {
				t.Fatalf("error %v", err)
			}
		})
	}
}

// FuzzDecodeManifest guards against input that crashes the decoder or is read as something else than was written.
func FuzzDecodeManifest(f *testing.F) {
	for _, s := range []string{"", "a\n", strings.Repeat("0123456789\n", 100)} {
		b, err := chunker.New([]byte(s), small).Manifest.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := chunker.DecodeManifest(b)
		if err != nil {
			if !errors.Is(err, chunker.ErrManifest) {
				t.Fatal(err)
			}
			return
		}
		if m.TextSize < 0 || m.TextSize > chunker.MaxText || m.Depth < 1 {
			t.Fatalf("accepted size %d, depth %d", m.TextSize, m.Depth)
		}
		c, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		n, err := chunker.DecodeManifest(c)
		if err != nil || fmt.Sprint(n) != fmt.Sprint(m) {
			t.Fatalf("%v differs from %v: %v", n, m, err)
		}
		if _, err := m.Missing(func(chunker.Name) ([]byte, bool) { return b, true }); err != nil && !errors.Is(err, chunker.ErrManifest) {
			t.Fatal(err)
		}
	})
}

// blocks returns the text of n blocks of clients as composer writes them; blocks that are skipped do not appear.
func blocks(n int, weight func(i int) int) []byte {
	var b bytes.Buffer
	b.WriteString("[lookup]\ntime_to_live = '5s'\n")
	for i := range n {
		if w := weight(i); w > 0 {
			fmt.Fprintf(&b, "\n[[blocks]]\nprefix = '100.%d.%d.%d/32'\nregion = 'west'\nweight = %d.0\n", i>>16, i>>8&255, i&255, w)
		}
	}
	return b.Bytes()
}

// changes are changes of the block with index k.
var changes = map[string]func(k, i int) int{
	"changed": func(k, i int) int {
		if i == k {
			return 3
		}
		return 2
	},
	"removed": func(k, i int) int {
		if i == k {
			return 0
		}
		return 2
	},
}

func unchanged(int) int { return 2 }

// Guards against boundaries that do not come back after a change, so that it would cost the rest of the text.
// The bound is the control traffic of design 1.7: 3 KB/s in the 39 s between two changes, for everything.
func TestChangeCostsWhatItChanges(t *testing.T) {
	const n, budget, runs = 16_000, 39 * 3_000, 12
	before := chunker.New(blocks(n, unchanged), chunker.DefaultSizes)
	r := rand.New(rand.NewPCG(1, 2))
	for name, change := range changes {
		total := 0
		for range runs {
			k := r.IntN(n)
			after := chunker.New(blocks(n, func(i int) int { return change(k, i) }), chunker.DefaultSizes)
			for _, v := range [][2]*chunker.Tree{{before, after}, {after, before}} {
				size, chunks := cost(v[0], v[1])
				if size > budget {
					t.Errorf("%s: block %d costs %d bytes", name, k, size)
				}
				total += chunks
			}
		}
		// Two chunks of the text and two of the list of names.
		if total > 4*2*runs {
			t.Errorf("%s: %d changes took %d chunks", name, 2*runs, total)
		}
	}
}

// cost returns the bytes of the manifest and the chunks that b has and a lacks, and the number of the latter.
func cost(a, b *chunker.Tree) (size, chunks int) {
	m, err := b.Manifest.Encode()
	if err != nil {
		panic(err)
	}
	size = len(m)
	for n, c := range b.Chunks() {
		if _, ok := a.Chunk(n); !ok {
			size += len(c)
			chunks++
		}
	}
	return size, chunks
}

// policy splits a text in one of the ways that docs/measurements.d/chunker.md compares.
type policy struct {
	name  string
	split func(text []byte) [][]byte
}

func fixed(size int) policy {
	return policy{fmt.Sprint("fixed-", size), func(text []byte) [][]byte {
		var out [][]byte
		for len(text) > size {
			out = append(out, text[:size])
			text = text[size:]
		}
		return append(out, text)
	}}
}

func content(mean int) policy {
	s := chunker.Sizes{Min: mean / 4, Mean: mean, Max: 4 * mean}
	return policy{fmt.Sprint("content-", mean), func(text []byte) [][]byte { return chunker.Split(text, s) }}
}

func perEntity(text []byte) [][]byte {
	return bytes.SplitAfter(text, []byte("\n\n"))
}

// BenchmarkChange reports the bytes and new rows of a change of one block by policy: with all names in the manifest
// (flat), and for content-defined chunks with lists of names that are split too (tree).
func BenchmarkChange(b *testing.B) {
	const runs = 20
	policies := []policy{fixed(4096), fixed(16384), content(2048), content(4096), content(16384), content(65536), {"entity", perEntity}}
	for _, n := range []int{1_000, 16_000, 160_000} {
		base := blocks(n, unchanged)
		for name, change := range changes {
			r := rand.New(rand.NewPCG(1, 2))
			var texts [][]byte
			for range runs {
				k := r.IntN(n)
				texts = append(texts, blocks(n, func(i int) int { return change(k, i) }))
			}
			for _, p := range policies {
				b.Run(fmt.Sprintf("%d/%s/%s-flat", n, name, p.name), func(b *testing.B) {
					for b.Loop() {
						b.ReportMetric(flat(p, base, texts), "B/change")
					}
					b.ReportMetric(float64(len(p.split(base))), "rows")
				})
			}
			for _, mean := range []int{1024, 2048, 4096, 16384} {
				s := chunker.Sizes{Min: mean / 4, Mean: mean, Max: 4 * mean}
				b.Run(fmt.Sprintf("%d/%s/content-%d-tree", n, name, mean), func(b *testing.B) {
					for b.Loop() {
						tree(b, s, base, texts)
					}
				})
			}
		}
	}
}

// flat returns the mean bytes of the manifest and the new chunks.
func flat(p policy, base []byte, texts [][]byte) float64 {
	held := map[chunker.Name]bool{}
	for _, c := range p.split(base) {
		held[chunker.NameOf(c)] = true
	}
	size := 0
	for _, t := range texts {
		for _, c := range p.split(t) {
			n := chunker.NameOf(c)
			size += len(n)
			if !held[n] {
				size += len(c)
			}
		}
	}
	return float64(size) / float64(len(texts))
}

func tree(b *testing.B, s chunker.Sizes, base []byte, texts [][]byte) {
	before := chunker.New(base, s)
	total, most, rows := 0, 0, 0
	for _, t := range texts {
		size, chunks := cost(before, chunker.New(t, s))
		total += size
		most = max(most, size)
		rows += chunks
	}
	b.ReportMetric(float64(total)/float64(len(texts)), "B/change")
	b.ReportMetric(float64(most), "B-most")
	b.ReportMetric(float64(rows)/float64(len(texts)), "rows/change")
	all := 0
	for range before.Chunks() {
		all++
	}
	b.ReportMetric(float64(all), "rows")
}

// BenchmarkNew splits a text and names its chunks.
func BenchmarkNew(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		text := blocks(n, unchanged)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				chunker.New(text, chunker.DefaultSizes)
			}
		})
	}
}

// BenchmarkJoin joins a text of which one chunk was fetched.
func BenchmarkJoin(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 160_000} {
		t := chunker.New(blocks(n, unchanged), chunker.DefaultSizes)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.SetBytes(int64(len(t.Text)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := chunker.Join(t.Manifest, t.Chunk); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
