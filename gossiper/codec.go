package gossiper

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"
)

// compactMark begins a compressed datagram; JSON text never begins with it.
const compactMark = 0x01

// minCompactSize is the size in bytes from which on datagrams are compressed.
const minCompactSize = 160

// dictionary holds what most datagrams contain, the most frequent parts at the end. Instances that use different ones cannot
// read each other's compressed datagrams, so a change needs another compactMark.
var dictionary = []byte(`"doubt":true,"x":[{"i":"","f":"","g":0}],"give":{},"ask":{},"want_permits":{},"give_permits":{},"id":` +
	`,"state":{"v":{"instances":,"op":,"servers":},"d":{"instances":,"op":,"servers":},"c":,"a":{"o":"","s":,"v":,"g":}}` +
	`,"heard":[{"n":"edge-","a":"10.","r":"","z":"","s":1,"u":true,"g":},{"n":"edge-","a":"10."}],"alive":{"10.":,"10.":}` +
	`,"load":{"i-":1,"i-":2},"placed":{"i-":[],"i-":[]},"loaded":true}{"from":{"n":"edge-","a":"10.","r":"","z":"","s":1,"u":true,"k":true}`)

// encodedDatagram is a datagram as it is sent.
type encodedDatagram struct {
	// asOf is the time as of which the ages in it were taken.
	asOf  time.Time
	plain []byte
	// compact is the compressed form for instances that read it, or nil.
	compact []byte
}

// codec encodes and decodes datagrams; it is safe for concurrent use.
type codec struct {
	mu         sync.Mutex
	compressor *flate.Writer
}

func (c *codec) encode(d datagram) (encodedDatagram, error) {
	b, err := json.Marshal(d)
	if err != nil || len(b) < minCompactSize {
		return encodedDatagram{plain: b}, err
	}
	p, err := c.compress(b)
	if err != nil || len(p) >= len(b) {
		return encodedDatagram{plain: b}, err
	}
	return encodedDatagram{plain: b, compact: p}, nil
}

func (c *codec) compress(b []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var p bytes.Buffer
	p.WriteByte(compactMark)
	if c.compressor == nil {
		w, err := flate.NewWriterDict(&p, flate.DefaultCompression, dictionary)
		if err != nil {
			return nil, err
		}
		c.compressor = w
	} else {
		c.compressor.Reset(&p)
	}
	if _, err := c.compressor.Write(b); err != nil {
		return nil, err
	}
	if err := c.compressor.Close(); err != nil {
		return nil, err
	}
	return p.Bytes(), nil
}

// errTooLong means that a compressed datagram has more text than one in plain may have.
var errTooLong = errors.New("compressed datagram is too long")

func (*codec) decode(b []byte) (datagram, error) {
	var d datagram
	if len(b) == 0 || b[0] != compactMark {
		return d, json.Unmarshal(b, &d)
	}
	t, err := io.ReadAll(io.LimitReader(flate.NewReaderDict(bytes.NewReader(b[1:]), dictionary), maxDatagram+1))
	if err != nil {
		return d, err
	}
	if len(t) > maxDatagram {
		return d, errTooLong
	}
	return d, json.Unmarshal(t, &d)
}
