package composer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Parse reads TOML and returns the configuration in canonical order; its error is Problems.
//
// It refuses unknown names, names in another case and values of another type.
// It does not call Check.
func Parse(text []byte) (Config, error) {
	rest, blocks, ok := cutBlocks(text)
	if !ok {
		return parseWhole(text)
	}
	c, err := parseWhole(rest)
	if err != nil {
		return parseWhole(text)
	}
	c.Blocks = blocks
	if !slices.IsSortedFunc(blocks, compareBlocks) {
		slices.SortStableFunc(blocks, compareBlocks)
	}
	return c, nil
}

// parseWhole reads a text through one generic table.
func parseWhole(text []byte) (Config, error) {
	var p Problems
	root := map[string]any{}
	if err := toml.Unmarshal(text, &root); err != nil {
		p.add("toml", position(err), "%s", err.Error())
		return Config{}, p
	}
	r := reader{problems: &p, entity: "configuration", table: root}
	c := Config{
		Lookup:   r.lookup(),
		Regions:  entries(r, "regions", "region", reader.region),
		Links:    entries(r, "links", "link", reader.link),
		Pools:    entries(r, "pools", "pool", reader.pool),
		Routes:   entries(r, "routes", "route", reader.route),
		Accounts: entries(r, "accounts", "account", reader.account),
		Blocks:   entries(r, "blocks", "block", reader.block),
		Shifts:   entries(r, "shifts", "shift", reader.shift),
		Drains:   entries(r, "drains", "drain", reader.drain),
	}
	r.refuseRest()
	if err := p.err(); err != nil {
		return Config{}, err
	}
	return c.Canonical(), nil
}

func position(err error) string {
	var d *toml.DecodeError
	if !errors.As(err, &d) {
		return ""
	}
	line, column := d.Position()
	return fmt.Sprintf("line %d, column %d", line, column)
}

func (r reader) lookup() Lookup {
	s := r.section("lookup")
	v := Lookup{TimeToLive: s.duration("time_to_live")}
	s.refuseRest()
	return v
}

func (r reader) region() Region {
	return Region{Name: r.text("name"), FailureDomains: r.texts("failure_domains")}
}

func (r reader) link() Link {
	return Link{From: r.text("from"), To: r.text("to"), Megabits: r.number("megabits")}
}

func (r reader) pool() Pool {
	return Pool{
		Name:        r.text("name"),
		Targets:     entries(r, "targets", "target", reader.target),
		ServiceTime: r.duration("service_time"),
		Reserve:     r.number("reserve"),
		HealthPath:  r.text("health_path"),
		LoadPath:    r.text("load_path"),
	}
}

func (r reader) target() Target {
	return Target{
		Name:          r.text("name"),
		Address:       parsed(r, "address", "an IP address and port", netip.ParseAddrPort),
		FailureDomain: r.text("failure_domain"),
		Slots:         r.integer("slots"),
		Connections:   r.integer("connections"),
	}
}

func (r reader) route() Route {
	return Route{
		Name:       r.text("name"),
		PathPrefix: r.text("path_prefix"),
		Methods:    r.texts("methods"),
		Pool:       r.text("pool"),
		Open:       r.boolean("open"),
		Idempotent: r.boolean("idempotent"),
		Deadline:   r.duration("deadline"),
	}
}

func (r reader) account() Account {
	return Account{
		Name:  r.text("name"),
		Rate:  r.number("rate"),
		Burst: r.number("burst"),
		Keys:  entries(r, "keys", "key", reader.key),
	}
}

func (r reader) key() Key {
	return Key{Name: r.text("name"), Digest: parsed(r, "digest", "64 hexadecimal digits", parseDigest)}
}

func (r reader) block() Block {
	return Block{
		Prefix: parsed(r, "prefix", "an address prefix", netip.ParsePrefix),
		Region: r.text("region"),
		Weight: r.number("weight"),
	}
}

func (r reader) shift() Shift {
	return Shift{
		Name:         r.text("name"),
		From:         r.text("from"),
		To:           r.text("to"),
		Share:        r.number("share"),
		Step:         r.number("step"),
		StepInterval: r.duration("step_interval"),
		Cap:          r.number("cap"),
		Start:        r.time("start"),
	}
}

func (r reader) drain() Drain {
	return Drain{Name: r.text("name"), Kind: DrainKind(r.text("kind")), Of: r.text("of")}
}

// nameOf returns the text by which problems name an entry, or an empty one if the table lacks it.
func nameOf(kind string, table map[string]any) string {
	field := "name"
	if kind == "block" {
		field = "prefix"
	}
	s, ok := table[field].(string)
	if !ok && kind == "link" {
		return linkName(Link{From: fmt.Sprint(table["from"]), To: fmt.Sprint(table["to"])})
	}
	return s
}

func parseDigest(s string) ([32]byte, error) {
	b, err := hex.DecodeString(s)
	if err != nil {
		return [32]byte{}, err
	}
	if len(b) != 32 {
		return [32]byte{}, hex.ErrLength
	}
	return [32]byte(b), nil
}
