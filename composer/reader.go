package composer

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// reader takes the fields of one table; what is left at the end is unknown.
type reader struct {
	problems *Problems
	entity   string
	table    map[string]any
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

func (r reader) refuseRest() {
	for _, field := range slices.Sorted(maps.Keys(r.table)) {
		r.problems.add(r.entity, field, "is not a known name")
	}
}
