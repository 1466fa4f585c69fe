package server

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/attester"
	"celeryhead.dev/celeryhead/controller"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/operator"
	"celeryhead.dev/celeryhead/steerer"
)

func (s *Server) operatorsHandler() http.Handler {
	return s.trusted(identified(messenger.NewOperatorServer(&operatorService{server: s})))
}

// operatorService serves operators.
type operatorService struct {
	server *Server
}

// Apply makes a change and waits until it is in force.
func (o *operatorService) Apply(ctx context.Context, r *messenger.ApplyRequest) (*messenger.ApplyReply, error) {
	s := o.server
	n := identity(ctx)
	if !s.control.Valid(attester.Fleet, s.clock()) {
		return nil, twirp.Unavailable.Error("this instance cannot tell whether its configuration is the newest; use another one")
	}
	a, err := s.operator.Apply(ctx, operator.Change{
		OperationID: r.OperationId,
		BaseVersion: r.BaseVersion,
		Text:        r.Text,
		Operator:    n,
		Reason:      r.Reason,
		Kind:        operator.Kind(r.Kind),
	})
	s.noteChange(n, r.Kind, a, err)
	return operator.Reply(a, err)
}

func (s *Server) noteChange(name, kind string, a operator.Result, err error) {
	c := operator.ConflictOf(err)
	switch {
	case c != nil:
		s.log.ChangeConflict(name, c.Version)
	case a.Version == 0:
		s.log.ChangeFailed(name, err)
	default:
		s.log.ChangeAccepted(a.Version, name, kind)
	}
}

// Configuration returns the text of a version.
func (o *operatorService) Configuration(ctx context.Context, r *messenger.ConfigurationRequest) (*messenger.ConfigurationText, error) {
	v, t, err := o.server.operator.Configuration(ctx, r.Version)
	if err != nil {
		return nil, operator.TwirpError(err)
	}
	return &messenger.ConfigurationText{Version: v, Text: t}, nil
}

// Audit returns audit rows in order of version.
func (o *operatorService) Audit(ctx context.Context, r *messenger.AuditRequest) (*messenger.AuditReply, error) {
	l, err := o.server.operator.Audit(ctx, r.AfterVersion, int(r.Limit))
	if err != nil {
		return nil, operator.TwirpError(err)
	}
	return operator.AuditReply(l), nil
}

// Status describes the fleet as this instance sees it.
func (o *operatorService) Status(context.Context, *messenger.Empty) (*messenger.StatusReply, error) {
	s := o.server
	now := s.clock()
	v := s.control.View()
	r := &messenger.StatusReply{
		AnsweredBy:     s.self.Name,
		ConfigVersion:  v.Heads.ConfigVersion,
		HeadsVersion:   v.Row.Version,
		FleetFresh:     s.control.Valid(attester.Fleet, now),
		RegionFresh:    s.control.Valid(attester.Region, now),
		StoreReachable: s.control.StoreReachable(),
		ProofAgeMs:     s.control.ProofAge(attester.Fleet, now).Milliseconds(),
		Instances:      s.instanceStatus(now),
	}
	s.targetStatus(r)
	for _, h := range v.Config.Shifts {
		n := int(v.Heads.Shifts[h.Name].Step)
		r.Shifts = append(r.Shifts, &messenger.ShiftStatus{
			Name:        h.Name,
			Step:        uint32(n), //nolint:gosec // Steps are few.
			Share:       steerer.ShareAt(h, n),
			HeldBecause: s.control.Held(h.Name),
		})
	}
	for _, a := range s.meter.Accounts() {
		r.Accounts = append(r.Accounts, &messenger.AccountStatus{
			Name:              a.Name,
			Admitted:          a.Admitted,
			RefusedOverRate:   a.OverRate,
			RefusedWithinRate: a.WithinRate,
			P99Ms:             float64(a.P99.Microseconds()) / 1000,
		})
	}
	return r, nil
}

func (s *Server) instanceStatus(now time.Time) []*messenger.InstanceStatus {
	own := &messenger.InstanceStatus{
		Member:        controller.Member(s.self),
		View:          s.control.Own().String(),
		ConfigVersion: s.control.View().Heads.ConfigVersion,
	}
	r := []*messenger.InstanceStatus{own}
	for _, p := range s.control.Peers() {
		r = append(r, &messenger.InstanceStatus{
			Member:        controller.Member(p.Instance),
			View:          p.State.String(),
			ConfigVersion: s.control.ReportedVersion(p.Name),
			HeardMsAgo:    now.Sub(p.Heard).Milliseconds(),
		})
	}
	return r
}

func (s *Server) targetStatus(r *messenger.StatusReply) {
	v := s.control.View()
	for _, p := range v.Config.Pools {
		own := map[string]*messenger.TargetStatus{}
		if o := s.pools.get(p.Name); o != nil {
			for _, t := range o.Statuses() {
				own[t.Target] = &messenger.TargetStatus{InFlight: uint32(t.Running + t.Inherited), Health: string(t.State)} //nolint:gosec // Counts of slots are small.
			}
		}
		for _, t := range p.Targets {
			k := own[t.Name]
			if k == nil {
				k = &messenger.TargetStatus{}
			}
			k.Name, k.Pool, k.Slots = t.Name, p.Name, uint32(t.Slots) //nolint:gosec // Counts of slots are small.
			if i, ok := s.control.Owner(v.TargetResource(t.Name)); ok {
				k.Owner = i.Name
			}
			r.Targets = append(r.Targets, k)
		}
	}
}
