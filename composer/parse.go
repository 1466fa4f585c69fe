package composer

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Parse reads TOML and returns the configuration in canonical order; its error is Problems.
//
// It refuses unknown names, names in another case and values of another type.
// It does not call Check.
func Parse(text []byte) (Config, error) {
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

// reader takes the fields of one table; what is left at the end is unknown.
type reader struct {
	problems *Problems
	entity   string
	table    map[string]any
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

// entries reads an array of tables.
func entries[T any](r reader, field, kind string, read func(reader) T) []T {
	list, ok := take[[]any](r, field, "an array of tables")
	if !ok {
		return nil
	}
	var out []T
	for i, v := range list {
		label := fmt.Sprintf("%s number %d", kind, i+1)
		table, isTable := v.(map[string]any)
		if !isTable {
			r.problems.add(r.nested(label), "", "must be a table")
			continue
		}
		if name := nameOf(kind, table); name != "" {
			label = fmt.Sprintf("%s %q", kind, name)
		}
		e := reader{problems: r.problems, entity: r.nested(label), table: table}
		out = append(out, read(e))
		e.refuseRest()
	}
	return out
}

// nested puts the entity of r before label, unless r is the root.
func (r reader) nested(label string) string {
	if r.entity == "configuration" {
		return label
	}
	return r.entity + ", " + label
}

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

func (r reader) section(field string) reader {
	table, ok := take[map[string]any](r, field, "a table")
	if !ok {
		table = map[string]any{}
	}
	return reader{problems: r.problems, entity: field, table: table}
}

// take removes a field; it reports false if the field is absent or has another type.
func take[T any](r reader, field, want string) (T, bool) {
	var zero T
	v, ok := r.table[field]
	if !ok {
		return zero, false
	}
	delete(r.table, field)
	t, ok := v.(T)
	if !ok {
		r.problems.add(r.entity, field, "must be %s", want)
		return zero, false
	}
	return t, true
}

func (r reader) text(field string) string {
	s, _ := take[string](r, field, "a string")
	return s
}

func (r reader) texts(field string) []string {
	list, ok := take[[]any](r, field, "an array of strings")
	if !ok {
		return nil
	}
	var out []string
	for _, v := range list {
		s, isText := v.(string)
		if !isText {
			r.problems.add(r.entity, field, "must be an array of strings")
			return nil
		}
		out = append(out, s)
	}
	return out
}

func (r reader) boolean(field string) bool {
	b, _ := take[bool](r, field, "true or false")
	return b
}

func (r reader) integer(field string) int {
	n, _ := take[int64](r, field, "an integer")
	if n < math.MinInt32 || n > math.MaxInt32 {
		r.problems.add(r.entity, field, "is out of range")
		return 0
	}
	return int(n)
}

func (r reader) number(field string) float64 {
	if n, ok := r.table[field].(int64); ok {
		delete(r.table, field)
		return float64(n)
	}
	f, _ := take[float64](r, field, "a number")
	if math.IsNaN(f) || math.IsInf(f, 0) {
		r.problems.add(r.entity, field, "must be finite")
		return 0
	}
	return f
}

func (r reader) duration(field string) time.Duration {
	return parsed(r, field, `a duration such as "250ms"`, time.ParseDuration)
}

// time returns UTC. The encoder writes four-digit years only.
func (r reader) time(field string) time.Time {
	t, ok := take[time.Time](r, field, "a date and time with offset")
	if !ok {
		return time.Time{}
	}
	t = t.UTC()
	if t.Year() < 1 || t.Year() > 9999 {
		r.problems.add(r.entity, field, "is out of range")
		return time.Time{}
	}
	return t
}

func parsed[T any](r reader, field, want string, parse func(string) (T, error)) T {
	var zero T
	s, ok := take[string](r, field, want)
	if !ok {
		return zero
	}
	v, err := parse(s)
	if err != nil {
		r.problems.add(r.entity, field, "must be %s, not %q", want, s)
		return zero
	}
	return v
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

func (r reader) refuseRest() {
	for _, field := range slices.Sorted(maps.Keys(r.table)) {
		r.problems.add(r.entity, field, "is not a known name")
	}
}
