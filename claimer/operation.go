package claimer

import (
	"bytes"
	"time"

	"celeryhead.dev/celeryhead/storer"
)

// kind is the kind of an operation.
type kind int

const (
	// insert writes a claim, where there is no row or an abandoned one.
	insert kind = iota
	// finish adds the outcome to a claim.
	finish
	// abandon replaces a claim by an abandoned row.
	abandon
)

// operation is a conditional write of one claim row, which waits for a transaction.
type operation struct {
	kind kind
	key  string
	row  row
	// value is the encoded row.
	value []byte
	// version is the version of the row that the write replaces; 0 if it must be absent.
	version uint64
	// until is the time after which the operation is dropped.
	until time.Time
	// uncertain says that an earlier attempt may have taken effect, or may still do so.
	uncertain bool
	inFlight  bool
	// givenUp says that the request of an insert was answered as not run while the insert was in flight.
	givenUp bool
	// decided says that result, which has room for one, was sent.
	decided bool
	result  chan result
	// from and place say what to answer if the operation came from another instance; result is nil then.
	from  *delivery
	place int
}

// result is the end of an operation.
type result struct {
	decision Decision
	err      error
}

func newOperation(k kind, key string, r row, version uint64, until time.Time) *operation {
	return &operation{kind: k, key: key, row: r, value: r.encode(), version: version, until: until, result: make(chan result, 1)}
}

// finding is what the current row means for an operation.
type finding int

const (
	// again: the write is to be repeated on the version of the row.
	again finding = iota
	// effective: the row shows the operation's effect, or makes it needless.
	effective
	// refused: the row belongs to another claim.
	refused
)

// judge compares an operation with the row that failed its check; Version 0 means that the row is absent.
func judge(o *operation, current storer.Row, now time.Time) (finding, Decision) {
	if current.Version == 0 {
		return judgeAbsent(o)
	}
	r, err := decodeRow(current.Value)
	if err != nil {
		return refused, Decision{Verdict: OutcomeUnknown}
	}
	own := r.ClaimID == o.row.ClaimID
	switch o.kind {
	case insert:
		return judgeInsert(o, r, own, now)
	case finish:
		return judgeFinish(r, own)
	default:
		return judgeAbandon(r, own), Decision{}
	}
}

// judgeAbsent meets rows that were there before and have been swept since.
func judgeAbsent(o *operation) (finding, Decision) {
	switch o.kind {
	case insert:
		return again, Decision{}
	case finish:
		return refused, Decision{}
	default:
		return effective, Decision{}
	}
}

func judgeInsert(o *operation, r row, own bool, now time.Time) (finding, Decision) {
	switch {
	case own && r.State == claimed:
		return effective, Decision{Verdict: Run}
	case r.State == abandoned:
		return again, Decision{}
	case !bytes.Equal(r.Digest, o.row.Digest):
		return refused, Decision{Verdict: Mismatch}
	case r.State == done && r.Partial:
		return refused, Decision{Verdict: Completed, Outcome: r.outcome()}
	case r.State == done:
		return refused, Decision{Verdict: Stored, Outcome: r.outcome()}
	case now.Before(r.deadline()):
		return refused, Decision{Verdict: InProgress, RetryAfter: min(r.deadline().Sub(now), inProgressRetry)}
	default:
		return refused, Decision{Verdict: OutcomeUnknown}
	}
}

func judgeFinish(r row, own bool) (finding, Decision) {
	switch {
	case own && r.State == claimed:
		return again, Decision{}
	case own && r.State == done:
		return effective, Decision{}
	default:
		return refused, Decision{}
	}
}

// judgeAbandon is satisfied by any row but a claim of its own: the versions that the insert was
// conditional on have passed, so that the insert cannot be applied late.
func judgeAbandon(r row, own bool) finding {
	if own && r.State == claimed {
		return again
	}
	return effective
}
