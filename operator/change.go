package operator

import (
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// Limits of a change.
const (
	MaxOperationID = 64
	MaxReason      = 500
	// MaxChangeLines bounds the audit row of a change that touches very many entities.
	MaxChangeLines = 200
)

// Kind says by which command a change was made.
type Kind string

// The kinds of changes.
const (
	KindApply       Kind = "apply"
	KindKeyIssue    Kind = "key_issue"
	KindKeyWithdraw Kind = "key_withdraw"
	KindRollback    Kind = "rollback"
)

var kinds = []Kind{KindApply, KindKeyIssue, KindKeyWithdraw, KindRollback}

// Change is what an operator asks for.
type Change struct {
	// OperationID is chosen by the operator's program; it consists of letters, digits, '-' and '_'.
	OperationID string
	// BaseVersion is the version against which the change was made; 0 before the first configuration.
	BaseVersion uint64
	// Text is a configuration in TOML.
	Text []byte
	// Operator is the name in the operator's certificate.
	Operator string
	Reason   string
	Kind     Kind
}

func (c Change) check() error {
	switch {
	case !isOperationID(c.OperationID):
		return merry.Appendf(ErrBadChange, "operation_id must have 1 to %d letters, digits, '-' or '_'", MaxOperationID)
	case c.Operator == "" || !isLine(c.Operator):
		return merry.Append(ErrBadChange, "operator must be one line that is not empty")
	case strings.TrimSpace(c.Reason) == "" || len(c.Reason) > MaxReason || !isLine(c.Reason):
		return merry.Appendf(ErrBadChange, "reason must be one line of 1 to %d bytes", MaxReason)
	case !slices.Contains(kinds, c.Kind):
		return merry.Appendf(ErrBadChange, "kind must be one of %v, not %q", kinds, c.Kind)
	default:
		return nil
	}
}

func isOperationID(s string) bool {
	return s != "" && len(s) <= MaxOperationID && !strings.ContainsFunc(s, func(r rune) bool {
		return r > unicode.MaxASCII || !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_'
	})
}

func isLine(s string) bool {
	return utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}
