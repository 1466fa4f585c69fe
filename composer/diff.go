package composer

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// ChangeKind says what happened to an entity.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind
	// Entity is the kind of the entity, such as "account".
	Entity string
	// Name is unique within the entity kind; keys are named account/key.
	Name string
	// Fields holds all fields of an added or removed entity and the differing ones of a changed entity.
	Fields []FieldChange
}

// FieldChange holds the values of a field as text; Old or New is empty if there was none.
type FieldChange struct {
	Field, Old, New string
}

// String returns the change as one line.
func (c Change) String() string {
	parts := make([]string, len(c.Fields))
	for i, f := range c.Fields {
		switch c.Kind {
		case Added:
			parts[i] = f.Field + " " + f.New
		case Removed:
			parts[i] = f.Field + " " + f.Old
		default:
			parts[i] = f.Field + " " + f.Old + " -> " + f.New
		}
	}
	return fmt.Sprintf("%s %s %s: %s", c.Kind, c.Entity, c.Name, strings.Join(parts, ", "))
}

// Diff returns the changes from a to b, ordered by entity kind and name. Of key digests it shows the first 4 bytes.
func Diff(a, b Config) []Change {
	a, b = a.ordered(), b.ordered()
	a.Blocks, b.Blocks = differing(a.Blocks, b.Blocks)
	return diff(a, b)
}

// differing leaves out the blocks that a and b have in common; both are in canonical order.
func differing(a, b []Block) (older, newer []Block) {
	for len(a) > 0 && len(b) > 0 {
		switch order := compareBlocks(a[0], b[0]); {
		case order < 0:
			older, a = append(older, a[0]), a[1:]
		case order > 0:
			newer, b = append(newer, b[0]), b[1:]
		default:
			if a[0] != b[0] {
				older, newer = append(older, a[0]), append(newer, b[0])
			}
			a, b = a[1:], b[1:]
		}
	}
	return append(older, a...), append(newer, b...)
}

func diff(a, b Config) []Change {
	older, newer := entities(a), entities(b)
	var out []Change
	i, j := 0, 0
	for i < len(older) || j < len(newer) {
		switch order := compareEntities(older, newer, i, j); {
		case order < 0:
			out = append(out, change(Removed, older[i], entity{}))
			i++
		case order > 0:
			out = append(out, change(Added, entity{}, newer[j]))
			j++
		default:
			if c := change(Changed, older[i], newer[j]); len(c.Fields) > 0 {
				out = append(out, c)
			}
			i++
			j++
		}
	}
	return out
}

// NewKeys returns the names, as account/key, of the keys that changes add or whose secret they replace.
func NewKeys(changes []Change) []string {
	var out []string
	for _, c := range changes {
		if c.Entity == "key" && c.Kind != Removed {
			out = append(out, c.Name)
		}
	}
	return out
}

// entity is a flat view of one part of a configuration.
type entity struct {
	// rank orders kinds as in Config.
	rank   int
	kind   string
	name   string
	fields []field
}

type field struct {
	name, value string
	// secret replaces value in comparisons, because value is shortened.
	secret string
}

func compareEntities(a, b []entity, i, j int) int {
	switch {
	case i == len(a):
		return 1
	case j == len(b):
		return -1
	default:
		return orderEntities(a[i], b[j])
	}
}

func orderEntities(a, b entity) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
}

func change(kind ChangeKind, a, b entity) Change {
	e := a
	if kind == Added {
		e = b
	}
	c := Change{Kind: kind, Entity: e.kind, Name: e.name}
	for i := range e.fields {
		f := FieldChange{Field: e.fields[i].name}
		if kind != Added {
			f.Old = a.fields[i].value
		}
		if kind != Removed {
			f.New = b.fields[i].value
		}
		if kind == Changed && a.fields[i] == b.fields[i] {
			continue
		}
		c.Fields = append(c.Fields, f)
	}
	return c
}

func entities(c Config) []entity {
	c = c.ordered()
	w := &walker{}
	w.put("lookup", "settings", text("time_to_live", c.Lookup.TimeToLive))
	for _, v := range c.Regions {
		w.put("region", v.Name, text("failure_domains", v.FailureDomains))
	}
	for _, v := range c.Links {
		w.put("link", linkName(v), text("megabits", v.Megabits))
	}
	for _, v := range c.Pools {
		w.put("pool", v.Name, text("service_time", v.ServiceTime), text("reserve", v.Reserve),
			text("health_path", v.HealthPath), text("load_path", v.LoadPath))
	}
	for _, p := range c.Pools {
		for _, v := range p.Targets {
			w.put("target", v.Name, text("pool", p.Name), text("address", v.Address),
				text("failure_domain", v.FailureDomain), text("slots", v.Slots), text("connections", v.Connections))
		}
	}
	for _, v := range c.Routes {
		w.put("route", v.Name, text("path_prefix", v.PathPrefix), text("methods", v.Methods), text("pool", v.Pool),
			text("open", v.Open), text("idempotent", v.Idempotent), text("deadline", v.Deadline))
	}
	for _, v := range c.Accounts {
		w.put("account", v.Name, text("rate", v.Rate), text("burst", v.Burst))
	}
	for _, a := range c.Accounts {
		for _, v := range a.Keys {
			w.put("key", a.Name+"/"+v.Name, digest(v.Digest))
		}
	}
	for _, v := range c.Blocks {
		w.put("block", v.Prefix.String(), text("region", v.Region), text("weight", v.Weight))
	}
	for _, v := range c.Shifts {
		w.put("shift", v.Name, text("from", v.From), text("to", v.To), text("share", v.Share), text("step", v.Step),
			text("step_interval", v.StepInterval), text("cap", v.Cap), text("start", v.Start))
	}
	for _, v := range c.Drains {
		w.put("drain", v.Name, text("kind", string(v.Kind)), text("of", v.Of))
	}
	slices.SortStableFunc(w.out, orderEntities)
	return w.out
}

type walker struct {
	out []entity
}

func (w *walker) put(kind, name string, fields ...field) {
	w.out = append(w.out, entity{rank: slices.Index(kindOrder, kind), kind: kind, name: name, fields: fields})
}

var kindOrder = []string{
	"lookup", "region", "link", "pool", "target", "route", "account", "key", "block", "shift", "drain",
}

func text(name string, value any) field {
	f := field{name: name}
	switch v := value.(type) {
	case []string:
		f.value = "[" + strings.Join(v, " ") + "]"
	case time.Time:
		f.value = v.Format(time.RFC3339Nano)
		if v.IsZero() {
			f.value = "at once"
		}
	case netip.AddrPort:
		f.value = v.String()
	case string:
		f.value = v
		if v == "" {
			f.value = "none"
		}
	default:
		f.value = fmt.Sprint(v)
	}
	return f
}

func digest(d [32]byte) field {
	h := hex.EncodeToString(d[:])
	return field{name: "digest", value: h[:8] + "…", secret: h}
}
