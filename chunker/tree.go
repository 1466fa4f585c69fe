package chunker

import (
	"iter"

	"github.com/ansel1/merry/v2"
)

// Tree is a text with its manifest and chunks; it is immutable.
type Tree struct {
	Manifest Manifest
	Text     []byte
	// order holds the names below the manifest: first those of the text in order, then those of lists of names.
	order  []Name
	chunks map[Name][]byte
}

// New splits a text; the chunks share its memory.
func New(text []byte, s Sizes) *Tree {
	t := &Tree{Text: text, chunks: map[Name][]byte{}}
	l := t.add(Split(text, s))
	depth := 1
	for len(l) > maxRoot {
		l = t.add(split(EncodeNames(l), pageSizes, names))
		depth++
	}
	t.Manifest = Manifest{TextDigest: NameOf(text), TextSize: len(text), Depth: depth, Names: l}
	return t
}

// add returns the names of chunks in order.
func (t *Tree) add(chunks [][]byte) []Name {
	l := make([]Name, 0, len(chunks))
	for _, c := range chunks {
		n := NameOf(c)
		l = append(l, n)
		t.put(n, c)
	}
	return l
}

func (t *Tree) put(n Name, c []byte) {
	if _, ok := t.chunks[n]; !ok {
		t.order = append(t.order, n)
	}
	t.chunks[n] = c
}

// Join returns the tree of a manifest from chunks that match their names.
//
// Errors: ErrManifest if the chunks do not form the text of the manifest, ErrMissing.
func Join(m Manifest, get func(Name) ([]byte, bool)) (*Tree, error) {
	t := &Tree{Manifest: m, chunks: map[Name][]byte{}}
	l := m.Names
	for d := m.Depth; d > 0; d-- {
		b, err := concat(l, m.TextSize, get)
		if err != nil {
			return nil, err
		}
		// The chunks are cut from the joined bytes, so that the ones that were fetched can be freed.
		t.cut(l, b, get)
		if d == 1 {
			t.Text = b
			break
		}
		if l, err = DecodeNames(b); err != nil {
			return nil, err
		}
	}
	if len(t.Text) != m.TextSize || NameOf(t.Text) != m.TextDigest {
		return nil, merry.Append(ErrManifest, "the chunks form another text")
	}
	return t, nil
}

func (t *Tree) cut(l []Name, b []byte, get func(Name) ([]byte, bool)) {
	for _, n := range l {
		c, _ := get(n)
		t.put(n, b[:len(c):len(c)])
		b = b[len(c):]
	}
}

// Chunk returns a chunk of the text or of its lists of names. A nil tree has none.
func (t *Tree) Chunk(n Name) ([]byte, bool) {
	if t == nil {
		return nil, false
	}
	c, ok := t.chunks[n]
	return c, ok
}

// Chunks returns each chunk once, in the same order for equal texts.
func (t *Tree) Chunks() iter.Seq2[Name, []byte] {
	return func(yield func(Name, []byte) bool) {
		for _, n := range t.order {
			if !yield(n, t.chunks[n]) {
				return
			}
		}
	}
}
