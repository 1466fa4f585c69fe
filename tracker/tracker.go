package tracker

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/indexer"
)

// Default settings of a Config.
const (
	DefaultListLag    = 10 * time.Second
	DefaultListAge    = 3 * time.Second
	DefaultListOutage = 30 * time.Minute
	DefaultHeartbeat  = 500 * time.Millisecond
	DefaultSuspicion  = 1500 * time.Millisecond
	DefaultJitter     = 500 * time.Millisecond
)

// ErrSelf reports a configuration without the name or the incarnation of the local instance.
var ErrSelf = merry.New("tracker: own name and incarnation must be set")

// Instance identifies an incarnation of an instance and holds its location and addresses.
type Instance struct {
	Name string
	// Incarnation increases with each start of the process; 0 means unknown.
	Incarnation   uint64
	Region        string
	FailureDomain string
	// Caller is the address for callers, and Peer that for other instances.
	Caller netip.AddrPort
	Peer   netip.AddrPort
}

// Config holds the identity and the settings of the local instance; zero settings mean the defaults.
type Config struct {
	Self Instance
	// ListLag is the maximum age of the state that a list reading shows.
	ListLag time.Duration
	// ListAge is the maximum age of a list reading on which the instance acts.
	ListAge time.Duration
	// ListOutage is how long store reads keep the instance in service without a list reading.
	ListOutage time.Duration
	// Heartbeat is the interval of heartbeats to each peer.
	Heartbeat time.Duration
	// Suspicion is the time without a message after which a peer is suspected.
	Suspicion time.Duration
	// Jitter is the upper bound of the random delay before a suspected instance is removed from assignments.
	Jitter time.Duration
	// Seed selects the random delay, together with the name of the local instance.
	Seed uint64
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

// absenceTimeout is how long an instance that left the list may still act.
func (c Config) absenceTimeout() time.Duration {
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

// String returns the state as it is written in messages between instances.
func (s State) String() string {
	return [...]string{"joining", "active", "leaving", "suspected", "gone"}[s]
}

// Reason is a bit set of the reasons for which an instance belongs to the peer set.
type Reason uint8

// The reasons for membership in the peer set.
const (
	// Listed means that the newest list reading shows the instance.
	Listed Reason = 1 << iota
	// Contacted means that a message of the instance arrived.
	Contacted
)

// Entry is an instance in a list reading.
type Entry struct {
	Instance
	Leaving bool
}

// Contact is the membership information in a heartbeat or its answer.
type Contact struct {
	From Instance
	// State is Joining, Active or Leaving, or Gone if the incarnation stopped.
	State State
	// Acts is the value of Tracker.Acts at the sender.
	Acts bool
	// Unheard holds the names of the peers from which the sender received no message for two heartbeat intervals.
	Unheard []string
}

// Peer describes a member of the peer set.
type Peer struct {
	Instance
	Reasons Reason
	State   State
	// Heard is when the last message of this incarnation arrived.
	Heard time.Time
	// Confirmed reports that the peer has the local incarnation in its peer set.
	Confirmed bool
}

type peer struct {
	Instance
	reasons Reason
	// announced is the state in the newest message.
	announced State
	// leaving reports that the list marks the instance as leaving.
	leaving   bool
	confirmed bool
	// addedAt is when the incarnation was added to the peer set.
	addedAt time.Time
	heardAt time.Time
	sentAt  time.Time
	// lastEvidence is when the last evidence arrived that the instance may act.
	lastEvidence time.Time
	// absentSince is when the first reading without the instance arrived.
	absentSince time.Time
	// unheard is Contact.Unheard of the newest message.
	unheard []string
	backoff removalBackoff
}

// departure records the removal of an incarnation from the peer set.
type departure struct {
	incarnation uint64
	at          time.Time
	// stopped reports that the incarnation announced that it stopped.
	stopped bool
}

// Tracker holds the membership from the view of the local instance.
type Tracker struct {
	c        Config
	peers    *indexer.Table[string, peer]
	departed *indexer.Table[string, departure]
	absences *indexer.Table[string, absence]
	// newestReading is when the newest list reading was requested. Since readingsSince, successive readings were
	// requested at most ListAge apart.
	newestReading, readingsSince time.Time
	leaving                      bool
	// superseded reports that a later incarnation of the local name was seen.
	superseded bool
	// firstListed is when the first reading that shows the local instance arrived.
	firstListed time.Time
	// listedAt is when the newest reading that shows the local instance was requested.
	listedAt time.Time
	// listingMissed reports that a reading without the local instance arrived after the last one with it.
	listingMissed bool
	// listedSince is the start of the current run of readings that show the local instance; see ListedSince.
	listedSince time.Time
	admitted    time.Time
	// revision counts the changes of the peer set and of the admission.
	revision uint64
	lastTick time.Time
	// resumedAt is when the last pause of the local process ended.
	resumedAt time.Time
	// assigned reports that the newest assignment with members contains the local instance. The field selfExcluded reports
	// that the local instance was removed from an assignment and has not returned.
	assigned, selfExcluded bool
	// unheard is the value of Contact.Unheard as of the last tick.
	unheard []string
}

// New returns a tracker without peers, or ErrSelf if the identity of the local instance is incomplete.
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

// Leave marks the local instance as leaving, so that it is no longer a member of new assignments.
func (t *Tracker) Leave() {
	t.leaving = true
}
