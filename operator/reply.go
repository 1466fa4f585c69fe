package operator

import (
	"errors"

	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/recorder"
)

// MetaOutcome is the name in a twirp error's metadata that says whether a change may take effect.
const (
	MetaOutcome       = "outcome"
	OutcomeNotApplied = "not_applied"
	OutcomeUnknown    = "unknown"
)

// Reply returns the message for the outcome of Apply or Rollback, or a twirp error.
func Reply(r Result, err error) (*messenger.ApplyReply, error) {
	if c := ConflictOf(err); c != nil {
		return &messenger.ApplyReply{Conflict: conflictMessage(c)}, nil
	}
	if err != nil && r.Version == 0 {
		return nil, TwirpError(err)
	}
	// An error beside a version is one of the wait: the change is made.
	return &messenger.ApplyReply{
		Version:  r.Version,
		InForce:  r.InForce,
		Missing:  r.Missing,
		Warnings: r.Warnings,
	}, nil
}

func conflictMessage(c *Conflict) *messenger.Conflict {
	m := &messenger.Conflict{Version: c.Version, Operator: c.Operator, Reason: c.Reason}
	if !c.Time.IsZero() {
		m.UnixMs = c.Time.UnixMilli()
	}
	return m
}

// TwirpError returns the error that operators' programs receive for an error of this package.
func TwirpError(err error) twirp.Error {
	switch {
	case errors.Is(err, ErrInvalid):
		return twirp.InvalidArgument.Error(composer.ProblemsOf(err).Error())
	case errors.Is(err, ErrBadChange):
		return twirp.InvalidArgument.Error(err.Error())
	case errors.Is(err, ErrOperationReused):
		return twirp.AlreadyExists.Error(err.Error())
	case errors.Is(err, ErrUnknownVersion):
		return twirp.NotFoundError(err.Error())
	case errors.Is(err, ErrOutcomeUnknown):
		return twirp.Unavailable.Error(err.Error()).WithMeta(MetaOutcome, OutcomeUnknown)
	case errors.Is(err, ErrStoreDown), errors.Is(err, ErrBusy):
		return twirp.Unavailable.Error(err.Error()).WithMeta(MetaOutcome, OutcomeNotApplied)
	default:
		return twirp.InternalErrorWith(err)
	}
}

// AuditReply returns the message for audit rows.
func AuditReply(rows []recorder.Audit) *messenger.AuditReply {
	m := &messenger.AuditReply{}
	for _, a := range rows {
		m.Rows = append(m.Rows, &messenger.AuditRow{
			Version:     a.Version,
			BaseVersion: a.BaseVersion,
			Operator:    a.Operator,
			Reason:      a.Reason,
			Kind:        a.Kind,
			UnixMs:      a.Time.UnixMilli(),
			Changes:     a.Changes,
			OperationId: a.OperationID,
			Instance:    a.Instance,
		})
	}
	return m
}
