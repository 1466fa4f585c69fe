package operator

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of changes and reads; a Conflict is an error of its own.
var (
	// ErrBadChange is the error of a change whose id, kind, operator or reason is missing or malformed.
	ErrBadChange = merry.Sentinel("malformed change")
	// ErrInvalid is the error of a refused configuration; composer.ProblemsOf returns the reasons.
	ErrInvalid = merry.Sentinel("configuration is not valid")
	// ErrOperationReused is the error of an operation id under which another change was made.
	ErrOperationReused = merry.Sentinel("operation id was used for another change")
	// ErrUnknownVersion is the error of a configuration version that does not exist.
	ErrUnknownVersion = merry.Sentinel("configuration version does not exist")
	// ErrStoreDown says that the store did not answer and this call changed nothing.
	// An earlier call with the same operation id and ErrOutcomeUnknown may still have taken effect; so with ErrBusy.
	ErrStoreDown = merry.Sentinel("store did not answer; this call changed nothing")
	// ErrBusy says that other writes of the heads row came first at every attempt and this call changed nothing.
	ErrBusy = merry.Sentinel("too many concurrent writes; this call changed nothing")
	// ErrOutcomeUnknown says that the change may be made, now or later; a repeat with the same operation id finds out.
	ErrOutcomeUnknown = merry.Sentinel("store did not answer; the change may take effect")
)

// Conflict is the error of a change that was not made because another one was first.
// It is final: no earlier call with the same operation id can take effect any more.
type Conflict struct {
	// Version is the newest configuration version.
	Version uint64
	// Operator, Reason and Time are those of the change that made Version; they are empty if its audit row could not be read.
	Operator, Reason string
	Time             time.Time
}

// Error returns the conflict as one line.
func (c *Conflict) Error() string {
	if c.Operator == "" {
		return fmt.Sprintf("conflict: version %d is newer than the base of the change", c.Version)
	}
	return fmt.Sprintf("conflict: version %d by %s at %s is newer than the base of the change: %s",
		c.Version, c.Operator, c.Time.UTC().Format(time.RFC3339), c.Reason)
}

// ConflictOf returns the conflict in the chain of err, or nil.
func ConflictOf(err error) *Conflict {
	var c *Conflict
	if errors.As(err, &c) {
		return c
	}
	return nil
}
