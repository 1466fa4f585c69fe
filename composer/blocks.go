package composer

import (
	"bytes"
	"math"
	"net/netip"
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

const blocksField = "blocks"

// blockRun reads the tables of blocks, which make up nearly all of a large text, one by one into structs: through a generic
// table, a block takes 15 times the memory. It takes only well-formed blocks in one run; any other text is left to the
// generic table, which names its faults.
type blockRun struct {
	text   []byte
	parser unstable.Parser
	blocks []Block
	// start and end are the offsets of the run in text.
	start, end int
	state      runState
	// fields are those that the last block has.
	fields  blockFields
	regions map[string]string
}

type runState int

const (
	beforeRun runState = iota
	inRun
	afterRun
)

type blockFields struct {
	prefix, region, weight bool
}

// cutBlocks returns the blocks of a text, and the text with an empty table in their place; it reports false if they are
// not well-formed or not in one run.
func cutBlocks(text []byte) (rest []byte, blocks []Block, ok bool) {
	header := []byte("[[" + blocksField + "]]")
	n := bytes.Count(text, header)
	if n == 0 {
		return nil, nil, false
	}
	r := blockRun{text: text, end: len(text), blocks: make([]Block, 0, n), regions: map[string]string{}}
	r.parser.Reset(text)
	for r.parser.NextExpression() {
		if !r.take(r.parser.Expression()) {
			return nil, nil, false
		}
	}
	if r.parser.Error() != nil || r.state == beforeRun {
		return nil, nil, false
	}
	return slices.Concat(text[:r.start], header, []byte("\n"), text[r.end:]), r.blocks, true
}

// take reads an expression; it reports false for one that the run cannot have.
func (r *blockRun) take(e *unstable.Node) bool {
	if e.Kind == unstable.KeyValue {
		return r.state != inRun || r.field(e)
	}
	key, simple := simpleKey(e)
	if e.Kind == unstable.ArrayTable && simple && string(key.Data) == blocksField {
		return r.block(key)
	}
	if r.state == inRun {
		r.state, r.end = afterRun, r.lineOf(key)
	}
	return true
}

// block begins a block with the key of its header.
func (r *blockRun) block(key *unstable.Node) bool {
	switch r.state {
	case afterRun:
		return false
	case beforeRun:
		r.state, r.start = inRun, r.lineOf(key)
	case inRun:
	}
	r.blocks = append(r.blocks, Block{})
	r.fields = blockFields{}
	return true
}

// lineOf returns the offset of the line that holds a key.
func (r *blockRun) lineOf(key *unstable.Node) int {
	return bytes.LastIndexByte(r.text[:key.Raw.Offset], '\n') + 1
}

// field reads a field of the last block.
func (r *blockRun) field(e *unstable.Node) bool {
	key, simple := simpleKey(e)
	if !simple {
		return false
	}
	b, v := &r.blocks[len(r.blocks)-1], e.Value()
	switch string(key.Data) {
	case "prefix":
		return once(&r.fields.prefix) && v.Kind == unstable.String && setPrefix(b, v.Data)
	case "region":
		return once(&r.fields.region) && v.Kind == unstable.String && r.setRegion(b, v.Data)
	case "weight":
		return once(&r.fields.weight) && v.Kind == unstable.Float && setWeight(b, v.Data)
	default:
		return false
	}
}

func setPrefix(b *Block, text []byte) bool {
	var err error
	b.Prefix, err = netip.ParsePrefix(string(text))
	return err == nil
}

// setRegion keeps one string for all blocks of a region.
func (r *blockRun) setRegion(b *Block, text []byte) bool {
	name, ok := r.regions[string(text)]
	if !ok {
		name = string(text)
		r.regions[name] = name
	}
	b.Region = name
	return true
}

// setWeight leaves numbers with underscores, infinite ones and those out of range to the generic table.
func setWeight(b *Block, text []byte) bool {
	var err error
	b.Weight, err = strconv.ParseFloat(string(text), 64)
	return err == nil && !math.IsInf(b.Weight, 0) && !math.IsNaN(b.Weight)
}

// simpleKey returns the first part of a key and whether it is the only one.
func simpleKey(e *unstable.Node) (*unstable.Node, bool) {
	i := e.Key()
	i.Next()
	return i.Node(), i.IsLast()
}

// once reports whether a field was absent, and marks it as present.
func once(present *bool) bool {
	absent := !*present
	*present = true
	return absent
}
