package composer

import (
	"fmt"
	"math"
	"strings"
	"time"
)

func (k *checker) name(e, name string, seen map[string]bool) {
	k.validName(e, "name", name)
	k.once(e, "name", name, seen)
}

func (k *checker) validName(e, field, name string) {
	if !isName(name) {
		k.add(e, field, "%q is not a valid name", name)
	}
}

// once refuses a name that is in seen, and adds it there.
func (k *checker) once(e, field, name string, seen map[string]bool) {
	if seen[name] {
		k.add(e, field, "%q is a duplicate", name)
	}
	seen[name] = true
}

// pair checks the regions at the two ends of a link or shift.
func (k *checker) pair(e, from, to string) {
	k.known(e, "from", from, "region", k.regions[from])
	k.known(e, "to", to, "region", k.regions[to])
	if from == to {
		k.add(e, "to", "must differ from the region in from")
	}
}

func (k *checker) known(e, field, name, kind string, ok bool) {
	if !ok {
		k.add(e, field, "%q is not a %s", name, kind)
	}
}

func (k *checker) knownDomain(e, field, name string) {
	if _, ok := k.domains[name]; !ok {
		k.add(e, field, "%q is not in the failure domains of a region", name)
	}
}

func (k *checker) positive(e, field string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		k.add(e, field, "must be above 0 and finite")
	}
}

func (k *checker) share(e, field string, v float64) {
	if !(v > 0 && v <= 1) {
		k.add(e, field, "must be above 0 and at most 1")
	}
}

func (k *checker) duration(e, field string, v, most time.Duration) {
	if v <= 0 || v > most {
		k.add(e, field, "must be positive and at most %s", most)
	}
}

func (k *checker) optionalPath(e, field, path string) {
	if path != "" && !isPath(path) {
		k.add(e, field, "must be empty or a path that begins with '/'")
	}
}

// label names an entity in problems.
func label(kind, name string, i int) string {
	if name == "" {
		return fmt.Sprintf("%s number %d", kind, i+1)
	}
	return fmt.Sprintf("%s %q", kind, name)
}

// isPath refuses paths that a target could read differently from the router.
func isPath(s string) bool {
	if !strings.HasPrefix(s, "/") {
		return false
	}
	for _, b := range []byte(s) {
		if b <= ' ' || b > '~' || b == '?' || b == '#' || b == '%' || b == '\\' {
			return false
		}
	}
	segments := strings.Split(s[1:], "/")
	for i, v := range segments {
		last := i == len(segments)-1
		if v == "." || v == ".." || v == "" && !last {
			return false
		}
	}
	return true
}

func isName(s string) bool {
	return s != "" && len(s) <= MaxNameLength && s[0] != '-' && s[0] != '_' && !strings.ContainsFunc(s, func(r rune) bool {
		return !isKeyRune(r) && r != '_'
	})
}

func isKeyName(s string) bool {
	return isName(s) && !strings.Contains(s, "_")
}

func isKeyRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-'
}
