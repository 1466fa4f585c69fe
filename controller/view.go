package controller

import (
	"slices"
	"strings"

	"celeryhead.dev/celeryhead/assigner"
	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/recorder"
	"celeryhead.dev/celeryhead/steerer"
	"celeryhead.dev/celeryhead/storer"
)

// View is the content of one heads version; it is immutable.
type View struct {
	Row storer.Row
	// Heads holds the members of all assignments, in whichever form the row has them.
	Heads recorder.Heads
	// Lists holds the member lists that Row names by digest.
	Lists lists
	// Configuration is shared by the views of all heads versions that name it.
	*Configuration
	Steering *steerer.Table
}

// newView returns the view of a heads row; a configuration that is the same as in the old view is not parsed again.
func newView(old *View, r storer.Row, h recorder.Heads, t *chunker.Tree) (*View, error) {
	v := &View{Row: r, Heads: h}
	switch {
	case old != nil && old.Heads.ConfigVersion == h.ConfigVersion:
		v.Configuration = old.Configuration
		v.Steering = old.Steering.At(steps(h))
	case h.ConfigVersion == 0:
		v.Configuration = NewConfiguration(nil, composer.Config{})
	default:
		c, err := parseConfig(t.Text)
		if err != nil {
			return nil, err
		}
		v.Configuration = NewConfiguration(t, c)
	}
	if v.Steering == nil {
		v.Steering = steering(old, v)
	}
	return v, nil
}

// steering returns the table of a new configuration, which shares the blocks of the old one if they are the same.
func steering(old, v *View) *steerer.Table {
	c := steerer.Config{Configuration: v.Config, Steps: steps(v.Heads)}
	if old != nil && slices.Equal(old.Config.Blocks, v.Config.Blocks) {
		v.Config.Blocks = old.Config.Blocks
		return old.Steering.With(c)
	}
	return steerer.New(c)
}

func steps(h recorder.Heads) map[string]int {
	m := make(map[string]int, len(h.Shifts))
	for n, s := range h.Shifts {
		m[n] = int(s.Step)
	}
	return m
}

// Names of the resources that instances own.
const (
	targetPrefix = "target/"
	bucketPrefix = "bucket/"
	shiftPrefix  = "shift/"
)

// ShiftBucket names the bucket that holds a shift to its cap; no account has ':' in its name.
func ShiftBucket(shift string) string {
	return "shift:" + shift
}

// targetOf returns the target whose resource has the name.
func targetOf(r assigner.Resource) (string, bool) {
	return strings.CutPrefix(r.Name, targetPrefix)
}

// Chunk returns a chunk of the configuration or of a member list.
func (v *View) Chunk(n chunker.Name) ([]byte, bool) {
	if b, ok := v.Tree.Chunk(n); ok {
		return b, true
	}
	return v.Lists.chunk(n)
}

// TargetResource names the right to send work to a target.
func (v *View) TargetResource(target string) assigner.Resource {
	return assigner.Resource{Name: targetPrefix + target, Scope: v.TargetRegions[target]}
}

// BucketResource names the right to grant tokens of one part of a bucket; the index is that in Limits.
func (v *View) BucketResource(name string, index int) assigner.Resource {
	if len(v.Limits[name]) > 1 {
		return bucketResource(name, index+1)
	}
	return bucketResource(name, 0)
}

// bucketResource names a part of a bucket; 0 stands for an undivided one.
func bucketResource(name string, part int) assigner.Resource {
	return assigner.Resource{Name: bucketPrefix + name, Scope: assigner.FleetScope, Part: part}
}

// ShiftResource names the right to advance a shift.
func ShiftResource(name string) assigner.Resource {
	// A step is a write to the store, so nobody needs to succeed the owner without it.
	return assigner.Resource{Name: shiftPrefix + name, Scope: assigner.FleetScope, Sole: true}
}

func (v *View) resources() []assigner.Resource {
	var r []assigner.Resource
	for n := range v.TargetRegions {
		r = append(r, v.TargetResource(n))
	}
	for n, ls := range v.Limits {
		for p := range ls {
			r = append(r, v.BucketResource(n, p))
		}
	}
	for _, s := range v.Config.Shifts {
		r = append(r, ShiftResource(s.Name))
	}
	return r
}

// assignments maps the stored form to the assigner's.
func assignments(version uint64, h recorder.Heads) assigner.Heads {
	m := make(map[string]assigner.Assignment, len(h.Assignments))
	for n, a := range h.Assignments {
		s := make([]assigner.Member, 0, len(a.Members))
		for _, i := range a.Members {
			s = append(s, assigner.Member(i))
		}
		m[n] = assigner.Assignment{Epoch: a.Epoch, Members: s}
	}
	return assigner.Heads{Version: version, Scopes: m}
}
