package claimer

import (
	"bytes"
	"time"

	"celeryhead.dev/celeryhead/storer"
)

// operationKind is the type of an operation.
type operationKind int

const (
	// insert writes a claim where there is no row or an abandoned one.
	insert operationKind = iota
	// finish adds the outcome to a claim.
	finish
	// abandon marks a claim row as abandoned.
	abandon
)

// operation is a conditional write of one claim row.
type operation struct {
	kind operationKind
	key  string
	row  row
	// value is the encoded row.
	value []byte
	// version is the expected version of the existing row; 0 if the row must be absent.
	version uint64
	// expiry is the time after which the operation is discarded.
	expiry time.Time
	// uncertain is set if an earlier attempt may have been applied, or may still be applied later.
	uncertain bool
	inFlight  bool
	// canceled is set if Begin stopped waiting for an insert while it was in flight and answered Unavailable.
	canceled bool
	// delivered is set once a result was sent to the result channel, which has capacity 1.
	delivered bool
	result    chan result
	// reply and index refer to the result slot of an operation received from another instance; result is nil then.
	reply *pendingReply
	index int
}

// result is the final result of an operation.
type result struct {
	decision Decision
	err      error
}

func newOperation(k operationKind, key string, r row, version uint64, until time.Time) *operation {
	return &operation{kind: k, key: key, row: r, value: r.encode(), version: version, expiry: until, result: make(chan result, 1)}
}

// resolution determines how to proceed with an operation after a failed check.
type resolution int

const (
	// retryWrite: repeat the write on the current version of the row.
	retryWrite resolution = iota
	// applied: the row shows the effect of the operation, or makes the operation unnecessary.
	applied
	// superseded: the row belongs to another claim.
	superseded
)

// resolveConflict compares an operation with the current row after a failed check. Version 0 means that the row is absent.
func resolveConflict(o *operation, current storer.Row, now time.Time) (resolution, Decision) {
	if current.Version == 0 {
		return resolveAbsent(o)
	}
	r, err := decodeRow(current.Value)
	if err != nil {
		return superseded, Decision{Verdict: OutcomeUnknown}
	}
	own := r.ClaimID == o.row.ClaimID
	switch o.kind {
	case insert:
		return resolveInsert(o, r, own, now)
	case finish:
		return resolveFinish(r, own)
	default:
		return resolveAbandon(r, own), Decision{}
	}
}

// resolveAbsent handles rows that existed earlier and have since been deleted by the sweeper.
func resolveAbsent(o *operation) (resolution, Decision) {
	switch o.kind {
	case insert:
		return retryWrite, Decision{}
	case finish:
		return superseded, Decision{}
	default:
		return applied, Decision{}
	}
}

func resolveInsert(o *operation, r row, own bool, now time.Time) (resolution, Decision) {
	switch {
	case own && r.State == claimed:
		return applied, Decision{Verdict: Run}
	case r.State == abandoned:
		return retryWrite, Decision{}
	case !bytes.Equal(r.Digest, o.row.Digest):
		return superseded, Decision{Verdict: Mismatch}
	case r.State == done && r.Partial:
		return superseded, Decision{Verdict: Completed, Outcome: r.outcome()}
	case r.State == done:
		return superseded, Decision{Verdict: Stored, Outcome: r.outcome()}
	case now.Before(r.deadline()):
		return superseded, Decision{Verdict: InProgress, RetryAfter: min(r.deadline().Sub(now), inProgressRetry)}
	default:
		return superseded, Decision{Verdict: OutcomeUnknown}
	}
}

func resolveFinish(r row, own bool) (resolution, Decision) {
	switch {
	case own && r.State == claimed:
		return retryWrite, Decision{}
	case own && r.State == done:
		return applied, Decision{}
	default:
		return superseded, Decision{}
	}
}

// resolveAbandon treats every row except the operation's own claim as final. In all other states the row version that the
// insert depends on has been replaced, so that a late insert can no longer be applied.
func resolveAbandon(r row, own bool) resolution {
	if own && r.State == claimed {
		return retryWrite
	}
	return applied
}
