package composer

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// headText, blocksText and tailText are the parts of a text in their order.
type headText struct {
	Lookup   lookupText    `toml:"lookup"`
	Regions  []regionText  `toml:"regions,omitempty"`
	Links    []linkText    `toml:"links,omitempty"`
	Pools    []poolText    `toml:"pools,omitempty"`
	Routes   []routeText   `toml:"routes,omitempty"`
	Accounts []accountText `toml:"accounts,omitempty"`
}

type blocksText struct {
	Blocks []blockText `toml:"blocks,omitempty"`
}

type tailText struct {
	Shifts []shiftText `toml:"shifts,omitempty"`
	Drains []drainText `toml:"drains,omitempty"`
}

type lookupText struct {
	TimeToLive string `toml:"time_to_live"`
}

type regionText struct {
	Name           string   `toml:"name"`
	FailureDomains []string `toml:"failure_domains,omitempty"`
}

type linkText struct {
	From     string  `toml:"from"`
	To       string  `toml:"to"`
	Megabits float64 `toml:"megabits"`
}

type poolText struct {
	Name        string       `toml:"name"`
	ServiceTime string       `toml:"service_time"`
	Reserve     float64      `toml:"reserve"`
	HealthPath  string       `toml:"health_path,omitempty"`
	LoadPath    string       `toml:"load_path,omitempty"`
	Targets     []targetText `toml:"targets,omitempty"`
}

type targetText struct {
	Name          string `toml:"name"`
	Address       string `toml:"address,omitempty"`
	FailureDomain string `toml:"failure_domain"`
	Slots         int    `toml:"slots"`
	Connections   int    `toml:"connections"`
}

type routeText struct {
	Name       string   `toml:"name"`
	PathPrefix string   `toml:"path_prefix"`
	Methods    []string `toml:"methods,omitempty"`
	Pool       string   `toml:"pool"`
	Open       bool     `toml:"open"`
	Idempotent bool     `toml:"idempotent"`
	Deadline   string   `toml:"deadline"`
}

type accountText struct {
	Name  string    `toml:"name"`
	Rate  float64   `toml:"rate"`
	Burst float64   `toml:"burst"`
	Keys  []keyText `toml:"keys,omitempty"`
}

type keyText struct {
	Name   string `toml:"name"`
	Digest string `toml:"digest"`
}

type blockText struct {
	Prefix string  `toml:"prefix,omitempty"`
	Region string  `toml:"region"`
	Weight float64 `toml:"weight"`
}

type shiftText struct {
	Name         string    `toml:"name"`
	From         string    `toml:"from"`
	To           string    `toml:"to"`
	Share        float64   `toml:"share"`
	Step         float64   `toml:"step"`
	StepInterval string    `toml:"step_interval"`
	Cap          float64   `toml:"cap"`
	Start        time.Time `toml:"start,omitzero"`
}

type drainText struct {
	Name string `toml:"name"`
	Kind string `toml:"kind"`
	Of   string `toml:"of"`
}

// encodedBlocks is the number of blocks that are encoded at once, so that their intermediate forms take little memory.
const encodedBlocks = 1024

// blockSize is the usual size of a block in a text, in bytes.
const blockSize = 72

// Encode returns the canonical TOML of c, which Parse reads back.
func Encode(c Config) ([]byte, error) {
	c = c.ordered()
	var b bytes.Buffer
	b.Grow(len(c.Blocks) * blockSize)
	if err := appendPart(&b, headTextOf(c)); err != nil {
		return nil, err
	}
	for s := range slices.Chunk(c.Blocks, encodedBlocks) {
		if err := appendPart(&b, blocksText{Blocks: each(s, blockTextOf)}); err != nil {
			return nil, err
		}
	}
	if err := appendPart(&b, tailTextOf(c)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// appendPart writes a part of a text after an empty line, as the encoder does between tables.
func appendPart(b *bytes.Buffer, part any) error {
	n := b.Len()
	if n > 0 {
		b.WriteByte('\n')
	}
	if err := toml.NewEncoder(b).Encode(part); err != nil {
		return merry.Prepend(err, "encode configuration")
	}
	if b.Len() == n+1 {
		b.Truncate(n)
	}
	return nil
}

func headTextOf(c Config) headText {
	return headText{
		Lookup:   lookupText{TimeToLive: c.Lookup.TimeToLive.String()},
		Regions:  each(c.Regions, func(v Region) regionText { return regionText(v) }),
		Links:    each(c.Links, func(v Link) linkText { return linkText(v) }),
		Pools:    each(c.Pools, poolTextOf),
		Routes:   each(c.Routes, routeTextOf),
		Accounts: each(c.Accounts, accountTextOf),
	}
}

func tailTextOf(c Config) tailText {
	return tailText{
		Shifts: each(c.Shifts, shiftTextOf),
		Drains: each(c.Drains, func(v Drain) drainText {
			return drainText{Name: v.Name, Kind: string(v.Kind), Of: v.Of}
		}),
	}
}

// Print checks c and writes its canonical TOML to w; its error is Problems or an error of w.
func Print(w io.Writer, c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	text, err := Encode(c)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return merry.Prepend(err, "print configuration")
}

// Digest returns the SHA-256 digest of the text of a configuration.
func Digest(text []byte) [32]byte {
	return sha256.Sum256(text)
}

func poolTextOf(v Pool) poolText {
	return poolText{
		Name:        v.Name,
		ServiceTime: v.ServiceTime.String(),
		Reserve:     v.Reserve,
		HealthPath:  v.HealthPath,
		LoadPath:    v.LoadPath,
		Targets:     each(v.Targets, targetTextOf),
	}
}

func targetTextOf(v Target) targetText {
	t := targetText{Name: v.Name, FailureDomain: v.FailureDomain, Slots: v.Slots, Connections: v.Connections}
	if v.Address.IsValid() {
		t.Address = v.Address.String()
	}
	return t
}

func routeTextOf(v Route) routeText {
	return routeText{
		Name:       v.Name,
		PathPrefix: v.PathPrefix,
		Methods:    v.Methods,
		Pool:       v.Pool,
		Open:       v.Open,
		Idempotent: v.Idempotent,
		Deadline:   v.Deadline.String(),
	}
}

func accountTextOf(v Account) accountText {
	return accountText{
		Name:  v.Name,
		Rate:  v.Rate,
		Burst: v.Burst,
		Keys: each(v.Keys, func(k Key) keyText {
			return keyText{Name: k.Name, Digest: hex.EncodeToString(k.Digest[:])}
		}),
	}
}

func blockTextOf(v Block) blockText {
	t := blockText{Region: v.Region, Weight: v.Weight}
	if v.Prefix.IsValid() {
		t.Prefix = v.Prefix.String()
	}
	return t
}

func shiftTextOf(v Shift) shiftText {
	return shiftText{
		Name:         v.Name,
		From:         v.From,
		To:           v.To,
		Share:        v.Share,
		Step:         v.Step,
		StepInterval: v.StepInterval.String(),
		Cap:          v.Cap,
		Start:        v.Start,
	}
}

func each[A, B any](s []A, f func(A) B) []B {
	if len(s) == 0 {
		return nil
	}
	out := make([]B, 0, len(s))
	for _, v := range s {
		out = append(out, f(v))
	}
	return out
}

// Canonical returns a copy in the order of Encode: by name, links by their regions, blocks by prefix.
func (c Config) Canonical() Config {
	o := c.ordered()
	o.Blocks = copied(o.Blocks)
	return o
}

// ordered returns c in the order of Canonical for reading only: it shares blocks that are in order already.
func (c Config) ordered() Config {
	c.Regions = sorted(c.Regions, func(v Region) string { return v.Name })
	for i := range c.Regions {
		c.Regions[i].FailureDomains = sorted(c.Regions[i].FailureDomains, itself)
	}
	c.Links = sorted(c.Links, linkName)
	c.Pools = sorted(c.Pools, func(v Pool) string { return v.Name })
	for i := range c.Pools {
		c.Pools[i].Targets = sorted(c.Pools[i].Targets, func(v Target) string { return v.Name })
	}
	c.Routes = sorted(c.Routes, func(v Route) string { return v.Name })
	for i := range c.Routes {
		c.Routes[i].Methods = sorted(c.Routes[i].Methods, itself)
	}
	c.Accounts = sorted(c.Accounts, func(v Account) string { return v.Name })
	for i := range c.Accounts {
		c.Accounts[i].Keys = sorted(c.Accounts[i].Keys, func(v Key) string { return v.Name })
	}
	if !slices.IsSortedFunc(c.Blocks, compareBlocks) {
		c.Blocks = copied(c.Blocks)
		slices.SortStableFunc(c.Blocks, compareBlocks)
	}
	c.Shifts = sorted(c.Shifts, func(v Shift) string { return v.Name })
	for i := range c.Shifts {
		c.Shifts[i].Start = c.Shifts[i].Start.UTC()
	}
	c.Drains = sorted(c.Drains, func(v Drain) string { return v.Name })
	return c
}

func compareBlocks(a, b Block) int {
	if d := a.Prefix.Addr().Compare(b.Prefix.Addr()); d != 0 {
		return d
	}
	return cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits())
}

func sorted[T any](s []T, name func(T) string) []T {
	out := copied(s)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}

// copied returns nil for an empty slice, so that equal configurations are deeply equal.
func copied[T any](s []T) []T {
	return append([]T(nil), s...)
}

func itself(s string) string {
	return s
}

func linkName(v Link) string {
	return v.From + " -> " + v.To
}
