package claimer_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/messenger"
)

var errWire = errors.New("no answer")

// wire is the fleet as one instance sees it: who the claim owners are, and links with faults to them.
type wire struct {
	link *link
	find func(name string) *site

	mu     sync.Mutex
	owners []string
}

var _ claimer.Fleet = (*wire)(nil)

func (w *wire) ClaimOwners() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owners
}

// assign changes which owners the instance sees.
func (w *wire) assign(owners []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owners = owners
}

// answer is the end of one call.
type answer struct {
	reply *messenger.ClaimReply
	err   error
}

// Claim loses, delays and repeats messages and answers. A message may arrive after its call has ended, also one that was refused.
func (w *wire) Claim(ctx context.Context, owner string, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	to, world, r := w.find(owner), w.link.world, w.link.draw()
	if !w.link.gate() {
		return nil, errWire
	}
	later := func() {
		d := time.Duration(r.Int64N(int64(world.lateness)))
		world.late.Go(func() {
			time.Sleep(d)
			_, _ = to.accept(context.Background(), m)
		})
	}
	hop := func() time.Duration { return time.Duration(r.Int64N(int64(60 * time.Millisecond))) }
	there, back := hop(), hop()
	if r.Float64() < world.share() {
		switch r.IntN(7) {
		case 0:
			return w.silence(ctx)
		case 1:
			return nil, errWire
		case 2:
			later()
			return w.silence(ctx)
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
	end := make(chan answer, 1)
	world.late.Go(func() {
		time.Sleep(there)
		p, err := to.accept(ctx, m)
		wait(ctx, back)
		end <- answer{p, err}
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

func (w *wire) silence(ctx context.Context) (*messenger.ClaimReply, error) {
	<-ctx.Done()
	if !w.link.gate() {
		return nil, errWire
	}
	return nil, ctx.Err()
}

// accept is the owner's side of a call: a paused owner goes on later, before or after its transaction, and a killed one does not answer.
func (e *site) accept(ctx context.Context, m *messenger.ClaimRequest) (*messenger.ClaimReply, error) {
	if !e.link.gate() {
		return nil, errWire
	}
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	p, err := e.claims.Accept(ctx, m)
	if !e.link.gate() {
		return nil, errWire
	}
	return p, err
}

// chosen returns the names of the instances whose bits are set.
func chosen(bits, instances int) []string {
	var names []string
	for i := range instances {
		if bits>>i&1 == 1 {
			names = append(names, siteName(i))
		}
	}
	return names
}

func siteName(i int) string {
	return string(rune('a' + i))
}
