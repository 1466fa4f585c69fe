package server

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/limiter"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/responder"
)

// reassignBuckets gives the limiter the bucket parts that this instance owns now.
func (s *Server) reassignBuckets(v *controller.View, now time.Time) {
	var r []limiter.Owned
	for n, ls := range v.Limits {
		for i, l := range ls {
			k := v.BucketResource(n, i)
			if !s.control.Owns(k) {
				continue
			}
			r = append(r, limiter.Owned{
				Account:   n,
				Part:      i,
				Limit:     l,
				Divided:   len(ls) > 1,
				Inherited: inherited(s.control.Residue(k, now)),
			})
		}
	}
	s.buckets.Set(now, r)
}

func inherited(r assigner.Residue) *limiter.State {
	if !r.Bucket.Known {
		return nil
	}
	return &limiter.State{
		Limit:       limiter.Limit{Rate: r.Bucket.Rate, Burst: r.Bucket.Burst},
		Tokens:      r.Bucket.Tokens,
		Outstanding: r.Bucket.Outstanding,
	}
}

// reportBuckets adds the bucket parts that this instance gave up to a heartbeat.
func (s *Server) reportBuckets(b *messenger.Beat, now time.Time) {
	for _, h := range s.buckets.HandOvers(now) {
		m := &messenger.BucketState{
			Account:     h.Account,
			Rate:        h.State.Limit.Rate,
			Burst:       h.State.Limit.Burst,
			Tokens:      h.State.Tokens,
			Outstanding: h.State.Outstanding,
		}
		if h.Divided {
			m.Part = uint32(h.Part) + 1 //nolint:gosec // At most two parts.
		}
		b.Buckets = append(b.Buckets, m)
	}
}

// asker asks the owners of bucket parts for tokens.
type asker struct {
	server *Server
}

var errNoOwner = merry.Sentinel("bucket part has no owner")

// Ask asks this instance or another one.
func (a asker) Ask(ctx context.Context, k limiter.Ask) (limiter.Reply, error) {
	s := a.server
	v := s.control.View()
	if k.Part >= len(v.Limits[k.Account]) {
		return limiter.Reply{NotOwner: true}, nil
	}
	i, ok := s.control.Owner(v.BucketResource(k.Account, k.Part))
	if !ok {
		return limiter.Reply{}, errNoOwner
	}
	if i.Name == s.self.Name {
		return s.grant(k.Account, k.Part, limiter.Request{
			Holder:      s.self.Name,
			Incarnation: s.self.Incarnation,
			Ask:         k.ID,
			Tokens:      k.Tokens,
			Held:        k.Held,
		}), nil
	}
	r, err := s.links.Peer(i).Grant(ctx, &messenger.GrantRequest{
		Account:     k.Account,
		Part:        uint32(k.Part),   //nolint:gosec // At most two parts.
		Tokens:      uint32(k.Tokens), //nolint:gosec // Asks are bounded by the burst.
		Incarnation: s.self.Incarnation,
		Ask:         k.ID,
		Held:        uint32(k.Held), //nolint:gosec // Bounded by the burst.
	})
	if err != nil {
		return limiter.Reply{}, err
	}
	return limiter.Reply{
		Tokens:   int(r.Tokens),
		Life:     time.Duration(r.LifeUs) * time.Microsecond,
		Retry:    time.Duration(r.RetryUs) * time.Microsecond,
		NotOwner: r.NotOwner,
	}, nil
}

// grant takes tokens of a part that this instance owns.
func (s *Server) grant(account string, part int, q limiter.Request) limiter.Reply {
	now := s.clock()
	if !s.control.MayAct(s.control.View().BucketResource(account, part), now) {
		return limiter.Reply{NotOwner: true}
	}
	return s.buckets.Grant(now, account, part, q)
}

// Grant gives tokens of a bucket part.
func (p *peerService) Grant(ctx context.Context, r *messenger.GrantRequest) (*messenger.GrantReply, error) {
	n := identity(ctx)
	if n == "" {
		return nil, twirp.PermissionDenied.Error("the certificate names no instance")
	}
	a := p.server.grant(r.Account, int(r.Part), limiter.Request{
		Holder:      n,
		Incarnation: r.Incarnation,
		Ask:         r.Ask,
		Tokens:      int(r.Tokens),
		Held:        int(r.Held),
	})
	return &messenger.GrantReply{
		Tokens:   uint32(a.Tokens), //nolint:gosec // Bounded by the burst.
		LifeUs:   a.Life.Microseconds(),
		RetryUs:  a.Retry.Microseconds(),
		NotOwner: a.NotOwner,
	}, nil
}

// allow takes a token of the request's account.
func (s *Server) allow(ctx context.Context, c *call) *responder.Refusal {
	if c.route.Open {
		return nil
	}
	if f := s.allowance.Take(ctx, c.account.Name, c.deadline); f != nil {
		return f
	}
	c.admitted = true
	return nil
}

// placeTime bounds the wait for a token of a shift to its half; without one the request goes to its home region at once.
const placeTime = 100 * time.Millisecond

// place decides in which region a request of a moved block is served: beyond the cap of the shift it goes back to the home region.
func (s *Server) place(ctx context.Context, c *call) {
	v := s.control.View()
	b := v.Steering.Find(c.caller)
	h := v.Steering.Shift(b)
	if h == nil {
		return
	}
	if h.To != s.self.Region {
		c.avoid = h.To
		return
	}
	if f := s.allowance.Take(ctx, controller.ShiftBucket(h.Name), s.clock().Add(placeTime)); f != nil {
		c.region, c.avoid = h.From, h.To
	}
}
