package chunker

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Sizes are the sizes of chunks in bytes: 64 <= Min < Mean < Max.
type Sizes struct {
	// Min holds for all chunks but the last.
	Min int
	// Mean is the size that chunks have on average if the lines of the text differ.
	Mean int
	// Max holds for all chunks.
	Max int
}

// DefaultSizes keep a chunk within a small row of a table service. Smaller chunks cost more rows for a new text,
// larger ones more bytes for a change; docs/measurements.d/chunker.md compares them.
var DefaultSizes = Sizes{Min: 1 << 10, Mean: 4 << 10, Max: 16 << 10}

// MemberSizes are for member lists, where a change is mostly that of one line of about 65 bytes and a new list has a tenth
// of the rows of a small configuration; docs/measurements.d/members.md compares sizes.
var MemberSizes = Sizes{Min: 256, Mean: 1 << 10, Max: 4 << 10}

// pageSizes are the sizes of the chunks of a list of names; multiples of nameSize.
var pageSizes = Sizes{Min: 1 << 10, Mean: 2 << 10, Max: 8 << 10}

// window is how many bytes before the end of a line decide whether a chunk ends there. A line alone would not do,
// because most lines of a configuration are repeated.
const window = 64

// records divides data into the parts between which a chunk may end.
type records struct {
	// next returns the end of the record that begins at from; it is above from.
	next func(data []byte, from int) int
	// hash judges the end of the record data[from:to].
	hash func(data []byte, from, to int) uint64
}

var lines = records{
	next: func(data []byte, from int) int {
		if i := bytes.IndexByte(data[from:], '\n'); i >= 0 {
			return from + i + 1
		}
		return len(data)
	},
	hash: func(data []byte, _, to int) uint64 { return xxhash.Sum64(data[max(0, to-window):to]) },
}

// names are digests, so that their own bytes serve as hash.
var names = records{
	next: func(data []byte, from int) int { return min(from+nameSize, len(data)) },
	hash: func(data []byte, from, _ int) uint64 { return binary.LittleEndian.Uint64(data[from:]) },
}

// Split returns the chunks of a text; they share its memory.
func Split(text []byte, s Sizes) [][]byte {
	return split(text, s, lines)
}

func split(data []byte, s Sizes, r records) [][]byte {
	var out [][]byte
	for len(data) > 0 {
		n := s.cut(data, r)
		out = append(out, data[:n:n])
		data = data[n:]
	}
	return out
}

// cut returns the length of the first chunk of data: up to the first record whose hash is below a limit, and if there
// is none, up to the record with the smallest hash, so that the content decides in this case too. A record of more
// than Max bytes is cut. The limit grows with the length of the record, so that the mean does not depend on it.
func (s Sizes) cut(data []byte, r records) int {
	limit := uint64(math.MaxUint64) / uint64(s.Mean-s.Min) //nolint:gosec // Mean is above Min.
	best, smallest := min(s.Max, len(data)), uint64(math.MaxUint64)
	for from := 0; from < len(data); {
		to := r.next(data, from)
		if to > s.Max {
			return best
		}
		if to >= s.Min {
			h := r.hash(data, from, to) / uint64(to-from) //nolint:gosec // A record is not empty.
			if h < limit {
				return to
			}
			if h < smallest {
				best, smallest = to, h
			}
		}
		from = to
	}
	return len(data)
}
