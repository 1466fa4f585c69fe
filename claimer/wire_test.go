package claimer_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/messenger"
)

var errNoReply = errors.New("no answer")

// instanceFleet is the fleet as seen by one instance: its view of the claim owners, and unreliable connections to them.
type instanceFleet struct {
	store *instanceStore
	find  func(name string) *testInstance

	mu     sync.Mutex
	owners []string
}

var _ claimer.Fleet = (*instanceFleet)(nil)

func (w *instanceFleet) ClaimOwners() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners
}

// setOwners changes the claim owners that the instance sees.
func (w *instanceFleet) setOwners(owners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners = owners
}

// callResult is the result of one call.
type callResult struct {
	reply *messenger.ClaimReply
	err   error
}

// Claim loses, delays and duplicates messages and replies. A message may arrive after its call has ended, even if it was
// reported as refused.
func (w *instanceFleet) Claim(ctx context.Context, owner string, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	to, table, r := w.find(owner), w.store.table, w.store.nextRandom()
	if !w.store.awaitAlive() {
		return nil, errNoReply
	}
	later := func() {
		d := time.Duration(r.Int64N(int64(table.maxDelay)))
		table.delayed.Go(func() {
			time.Sleep(d)
			_, _ = to.accept(context.Background(), m)
		})
	}
	hop := func() time.Duration { return time.Duration(r.Int64N(int64(60 * time.Millisecond))) }
	there, back := hop(), hop()
	if r.Float64() < table.currentFaultRate() {
		switch r.IntN(7) {
		case 0:
			return w.noReply(ctx)
		case 1:
			return nil, errNoReply
		case 2:
			later()
			return w.noReply(ctx)
		case 3:
			later()
			return &messenger.ClaimReply{Refused: true}, nil
		case 4:
			later()
		case 5:
			back = time.Hour
		default:
			back = time.Duration(r.Int64N(int64(2 * time.Second)))
		}
	}
	end := make(chan callResult, 1)
	table.delayed.Go(func() {
		time.Sleep(there)
		p, err := to.accept(ctx, m)
		waitFor(ctx, back)
		end <- callResult{p, err}
	})
	select {
	case a := <-end:
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return a.reply, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *instanceFleet) noReply(ctx context.Context) (*messenger.ClaimReply, error) {
	<-ctx.Done()
	if !w.store.awaitAlive() {
		return nil, errNoReply
	}
	return nil, ctx.Err()
}

// accept handles a call at the owner. A paused owner continues later, before or after its transaction. A killed owner does
// not reply.
func (e *testInstance) accept(ctx context.Context, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	if !e.store.awaitAlive() {
		return nil, errNoReply
	}
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	p, err := e.claims.Accept(ctx, m)
	if !e.store.awaitAlive() {
		return nil, errNoReply
	}
	return p, err
}

// ownersFromBits returns the names of the instances whose bits are set.
func ownersFromBits(bits, instances int) []string {
	var names []string
	for i := range instances {
		if bits>>i&1 == 1 {
			names = append(names, instanceName(i))
		}
	}
	return names
}

func instanceName(i int) string {
	return string(rune('a' + i))
}
