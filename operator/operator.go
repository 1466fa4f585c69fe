package operator

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/collector"
	"celeryhead.dev/celeryhead/storer"
	"celeryhead.dev/celeryhead/timer"
)

// Defaults of Config.
const (
	// DefaultAttempts with DefaultBackoff keep trying for about 5 s, which covers a short outage of the store.
	DefaultAttempts = 12
	DefaultBackoff  = 20 * time.Millisecond
	// DefaultTimeout is several times the longest round trip to the store.
	DefaultTimeout = time.Second
)

const (
	maxBackoff        = time.Second
	defaultAuditLimit = 100
	maxAuditLimit     = 1000
)

// Commit is a committed heads row, with the text of its configuration.
type Commit struct {
	Heads         storer.Row
	ConfigVersion uint64
	Text          []byte
}

// Publish makes c known to this instance and waits until each peer has confirmed
// it, or until freshness has passed. It returns the names of the instances that did not confirm.
type Publish func(ctx context.Context, c Commit) (missing []string, err error)

// Config configures an Operator; Store, Publish and Instance are required.
type Config struct {
	Store   storer.Store
	Publish Publish
	// Instance is the name of this instance.
	Instance string
	Now      timer.Clock
	// Attempts is how often Apply tries to commit.
	Attempts int
	// Backoff is the mean pause before the second attempt; it doubles with each one, up to 1 s.
	Backoff time.Duration
	// Timeout limits each call of the store.
	Timeout time.Duration
	// Collector reads versions from the store; the default is one of its own.
	Collector *collector.Collector
	// Held returns chunks that need not be read from the store; it may be nil.
	Held func(chunker.Name) ([]byte, bool)
}

// Operator makes changes on one instance; it is safe for concurrent use.
type Operator struct {
	config Config
}

// Result is the outcome of a change that was made.
type Result struct {
	Version uint64
	// InForce is true if every instance confirmed the version.
	InForce bool
	// Missing names the instances that did not confirm; they refuse keyed requests until they do.
	Missing  []string
	Warnings []string
}

// New returns an Operator; fields of c that are zero and not required take their defaults.
func New(c Config) *Operator {
	if c.Now == nil {
		c.Now = timer.Now
	}
	if c.Attempts == 0 {
		c.Attempts = DefaultAttempts
	}
	if c.Backoff == 0 {
		c.Backoff = DefaultBackoff
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Collector == nil {
		c.Collector = collector.New(collector.Config{CallTimeout: c.Timeout})
	}
	return &Operator{config: c}
}

// Apply makes a change and waits until it is in force.
//
// Errors: Conflict, ErrBadChange, ErrInvalid, ErrOperationReused, ErrStoreDown,
// ErrOutcomeUnknown, ErrBusy, recorder.ErrCorrupt, and those of Publish. After an
// error of Publish the change is made, and a repeat waits for it again.
func (o *Operator) Apply(ctx context.Context, c Change) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	p, err := propose(c)
	if err != nil {
		return Result{}, err
	}
	m, err := o.commit(ctx, p)
	if err != nil {
		return Result{}, err
	}
	r := Result{Version: m.version, Warnings: p.warnings}
	r.Missing, err = o.config.Publish(ctx, m.newest)
	if err != nil {
		return r, merry.Prependf(err, "version %d is accepted but not known to be in force", m.version)
	}
	r.InForce = len(r.Missing) == 0
	return r, nil
}

// Rollback applies the text of an earlier version as a new version; c.Text and c.Kind are ignored.
//
// Errors: those of Apply and ErrUnknownVersion.
func (o *Operator) Rollback(ctx context.Context, c Change, version uint64) (Result, error) {
	_, text, err := o.Configuration(ctx, version)
	if err != nil {
		return Result{}, err
	}
	c.Text, c.Kind = text, KindRollback
	return o.Apply(ctx, c)
}
