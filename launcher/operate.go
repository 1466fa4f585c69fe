package launcher

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/messenger"
)

// OperatorClient returns a client of an instance's operator service.
func (d *Deployment) OperatorClient(i *Instance) (messenger.Operator, error) {
	var c certifier.Config
	for _, f := range []struct {
		path string
		to   *[]byte
	}{{d.Operator.Authority, &c.Authority}, {d.Operator.Certificate, &c.Pair.Certificate}, {d.Operator.Key, &c.Pair.Key}} {
		b, err := os.ReadFile(f.path)
		if err != nil {
			return nil, err
		}
		*f.to = b
	}
	t, err := certifier.ClientConfig(c)
	if err != nil {
		return nil, err
	}
	return messenger.NewOperatorProtobufClient("https://"+i.Operators.String(), &http.Client{Transport: &http.Transport{TLSClientConfig: t}}), nil
}

// Apply applies the configuration file through an instance and waits until it is in force; it tries again while the instance is joining.
func (d *Deployment) Apply(ctx context.Context, i *Instance, base uint64) (*messenger.ApplyReply, error) {
	o, err := d.OperatorClient(i)
	if err != nil {
		return nil, err
	}
	b, err := os.ReadFile(d.path("configuration.toml"))
	if err != nil {
		return nil, err
	}
	q := &messenger.ApplyRequest{OperationId: rand.Text(), BaseVersion: base, Text: b, Reason: "first configuration", Kind: "apply"}
	var r *messenger.ApplyReply
	err = poll(ctx, func() error {
		r, err = o.Apply(ctx, q)
		return err
	})
	return r, err
}

// Ready waits until every instance applies the configuration, holds its proofs and sees every other one, and every target of the pools has a free slot.
func (d *Deployment) Ready(ctx context.Context, version uint64, pools ...string) error {
	var cs []messenger.Operator
	for _, i := range d.Instances {
		o, err := d.OperatorClient(i)
		if err != nil {
			return err
		}
		cs = append(cs, o)
	}
	return poll(ctx, func() error {
		used := map[string]bool{}
		for _, o := range cs {
			r, err := o.Status(ctx, &messenger.Empty{})
			if err != nil {
				return err
			}
			if err := d.ready(r, version); err != nil {
				return merry.Prepend(err, r.AnsweredBy)
			}
			for _, t := range r.Targets {
				if t.Owner == r.AnsweredBy && t.Health != "" && t.InFlight < t.Slots {
					used[t.Name] = true
				}
			}
		}
		return d.allUsed(used, pools)
	})
}

func (d *Deployment) allUsed(used map[string]bool, pools []string) error {
	for _, p := range d.Configuration.Pools {
		if !slices.Contains(pools, p.Name) {
			continue
		}
		for _, t := range p.Targets {
			if !used[t.Name] {
				return merry.Errorf("target %s has no free slot", t.Name)
			}
		}
	}
	return nil
}

func (d *Deployment) ready(r *messenger.StatusReply, version uint64) error {
	if !r.FleetFresh || !r.RegionFresh || r.ConfigVersion < version {
		return merry.Errorf("configuration %d, fleet proof %v, region proof %v", r.ConfigVersion, r.FleetFresh, r.RegionFresh)
	}
	n := 0
	for _, k := range r.Instances {
		if k.View == "active" {
			n++
		}
	}
	if n != len(d.Instances) {
		return merry.Errorf("sees %d of %d instances", n, len(d.Instances))
	}
	return nil
}

// poll calls f until it succeeds or ctx ends; the last error is returned.
func poll(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// ByAddress returns the instance whose callers' listener has the address.
func (d *Deployment) ByAddress(a netip.AddrPort) *Instance {
	for _, i := range d.Instances {
		if i.Callers == a {
			return i
		}
	}
	return nil
}
