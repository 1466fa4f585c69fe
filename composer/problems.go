package composer

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one fault of a configuration.
type Problem struct {
	// Entity is a kind with a name, or with a position where the name is missing.
	Entity string
	// Field is the name in the TOML text; it is empty if the whole entity is at fault.
	Field   string
	Message string
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Field == "" {
		return p.Entity + ": " + p.Message
	}
	return p.Entity + ": " + p.Field + ": " + p.Message
}

// Problems is the error of Parse and Check; it holds at least one problem.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, v := range p {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// ProblemsOf returns the problems in the chain of err, or nil.
func ProblemsOf(err error) Problems {
	var p Problems
	if errors.As(err, &p) {
		return p
	}
	return nil
}

func (p *Problems) add(entity, field, format string, args ...any) {
	*p = append(*p, Problem{Entity: entity, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
