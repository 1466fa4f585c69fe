package commander

import (
	"errors"

	"github.com/ansel1/merry/v2"
)

// Exit codes of the program.
const (
	ExitDone        = 0
	ExitRefused     = 1
	ExitConflict    = 2
	ExitUnreachable = 3
	ExitNotInForce  = 4
)

// The errors of commands; every other error is a refusal (of the arguments, the file or the change).
var (
	errConflict    = merry.Sentinel("another change was first")
	errUnreachable = merry.Sentinel("no instance could do this")
	errNotInForce  = merry.Sentinel("accepted, but not yet in force everywhere")
	errUsage       = merry.Sentinel("usage")
)

// code returns the exit code for the error of a command.
func code(err error) int {
	switch {
	case err == nil:
		return ExitDone
	case errors.Is(err, errConflict):
		return ExitConflict
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	default:
		return ExitRefused
	}
}
