package tracker

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/indexer"
)

// Defaults of the settings in Config.
const (
	DefaultListLag    = 10 * time.Second
	DefaultListAge    = 3 * time.Second
	DefaultListOutage = 30 * time.Minute
	DefaultHeartbeat  = 500 * time.Millisecond
	DefaultSuspicion  = 1500 * time.Millisecond
	DefaultJitter     = 500 * time.Millisecond
)

// ErrSelf reports a configuration without a name or an incarnation of the own instance.
var ErrSelf = merry.New("tracker: own name and incarnation must be set")

// Instance names one incarnation of an instance and where to reach it.
type Instance struct {
	Name string
	// Incarnation grows with each start of the process; 0 means unknown.
	Incarnation   uint64
	Region        string
	FailureDomain string
	Caller        netip.AddrPort
	Peer          netip.AddrPort
}

// Config holds the own identity and the settings; zero settings take the defaults.
type Config struct {
	Self Instance
	// ListLag bounds how old the state shown by a list reading is.
	ListLag time.Duration
	// ListAge is the largest age of a list reading on which the instance acts.
	ListAge time.Duration
	// ListOutage is how long store reads keep the instance in service without a list reading.
	ListOutage time.Duration
	Heartbeat  time.Duration
	Suspicion  time.Duration
	// Jitter bounds the random delay before a suspected instance is removed from assignments.
	Jitter time.Duration
	Seed   uint64
}

func (c Config) withDefaults() Config {
	setDefault(&c.ListLag, DefaultListLag)
	setDefault(&c.ListAge, DefaultListAge)
	setDefault(&c.ListOutage, DefaultListOutage)
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.Suspicion, DefaultSuspicion)
	setDefault(&c.Jitter, DefaultJitter)
	return c
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// hold is the time after which an instance that left the list no longer acts.
func (c Config) hold() time.Duration {
	return c.ListLag + c.ListAge
}

// State is the membership state of an instance.
type State uint8

// The membership states.
const (
	Joining State = iota
	Active
	Leaving
	Suspected
	Gone
)

// String returns the state in the form of the messages between instances.
func (s State) String() string {
	return [...]string{"joining", "active", "leaving", "suspected", "gone"}[s]
}

// Reason is a set of reasons for which an instance belongs to the peer set.
type Reason uint8

// The reasons; a peer can have several.
const (
	Listed Reason = 1 << iota
	Contacted
)

// Entry is one instance in a list reading.
type Entry struct {
	Instance
	Leaving bool
}

// Contact is the membership part of a heartbeat or of its answer.
type Contact struct {
	From Instance
	// State is Joining, Active or Leaving as announced, or Gone if the incarnation stopped.
	State State
	// Acts is the sender's Tracker.Acts.
	Acts bool
	// Unheard names the peers that the sender has not heard for two heartbeats.
	Unheard []string
}

// Peer is one member of the peer set.
type Peer struct {
	Instance
	Reasons Reason
	State   State
	// Heard is when a message of this incarnation last arrived.
	Heard time.Time
	// Confirmed reports that the peer counts the own incarnation.
	Confirmed bool
}

type peer struct {
	Instance
	reasons   Reason
	announced State
	leaving   bool
	confirmed bool
	since     time.Time
	heard     time.Time
	sent      time.Time
	// evidence is the last sign that the instance may act.
	evidence time.Time
	// absentSince is when the first reading without the instance arrived.
	absentSince time.Time
	// unheard is Contact.Unheard of the newest message.
	unheard []string
	doubt   doubt
}

// departure remembers an incarnation that left the peer set.
type departure struct {
	incarnation uint64
	at          time.Time
	stopped     bool
}

// Tracker holds the membership as one instance sees it.
type Tracker struct {
	c        Config
	peers    *indexer.Table[string, peer]
	departed *indexer.Table[string, departure]
	absences *indexer.Table[string, absence]
	// read is when the newest list reading was requested, and unbroken when the run of readings that it ends began.
	read, unbroken time.Time
	leaving        bool
	// superseded reports that a later incarnation of the own name was seen.
	superseded bool
	// first is when a reading that shows the own instance first arrived.
	first  time.Time
	listed time.Time
	// missed is true if a reading without the own instance arrived since the last one with it.
	missed bool
	// shown is when the present run of readings that show the own instance began.
	shown    time.Time
	admitted time.Time
	// revision counts the changes of the peer set and of the admission.
	revision uint64
	ticked   time.Time
	resumed  time.Time
	// assigned reports that the newest assignment with members names the own instance; leftOut that only an earlier one does.
	assigned, leftOut bool
	// unheard is Contact.Unheard as of the last tick.
	unheard []string
}

// New returns a tracker without peers; it reports ErrSelf if the own identity is incomplete.
func New(c Config) (*Tracker, error) {
	if c.Self.Name == "" || c.Self.Incarnation == 0 {
		return nil, ErrSelf
	}
	return &Tracker{
		c:        c.withDefaults(),
		peers:    indexer.New[string, peer](),
		departed: indexer.New[string, departure](),
		absences: indexer.New[string, absence](),
	}, nil
}

// Leave marks the own instance as leaving; it takes no further ownership.
func (t *Tracker) Leave() {
	t.leaving = true
}
