package meter

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"

	"celeryhead.dev/celeryhead/responder"
)

// Results of a request.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
	// resultOverRate and resultWithinRate divide the refusals of an account: the latter took a token or had no owner to ask.
	resultOverRate   = "refused_over_rate"
	resultWithinRate = "refused_within_rate"
)

const (
	// windows of windowLength make up the time over which the latency of an account is reported.
	windows      = 6
	windowLength = 10 * time.Second
	// Latencies are kept in microseconds, from 1 us to 1 min, with two significant digits.
	largestLatency    = int64(time.Minute / time.Microsecond)
	significantDigits = 2
	worstQuantile     = 99
	// idleLife is how long an account without requests keeps its histograms.
	idleLife = 10 * time.Minute
)

// Config configures a meter.
type Config struct {
	// AccountHistograms bounds the accounts with histograms of their own; the others share one.
	AccountHistograms int
}

// Meter holds the metrics of one instance; it is safe for concurrent use.
type Meter struct {
	config Config
	set    *metrics.Set

	mu       sync.Mutex
	accounts map[string]*account
	rotated  time.Time
	// own is the number of accounts that have histograms of their own.
	own int
	// others holds the latencies of accounts without histograms of their own; it is nil while there was none.
	others *latency
}

type account struct {
	admitted, overRate, withinRate uint64
	// seen is the end of the last request.
	seen time.Time
	// latency is nil while the account has no histograms of its own.
	latency *latency
	// shared is the end of the last request whose latency the account shares with others.
	shared time.Time
}

// latency holds the latencies of one account, or of all that share.
type latency struct {
	all    *metrics.Histogram
	recent *hdrhistogram.WindowedHistogram
}

func (m *Meter) newLatency(name string) *latency {
	return &latency{
		all:    m.set.GetOrCreateHistogram(name),
		recent: hdrhistogram.NewWindowed(windows, 1, largestLatency, significantDigits),
	}
}

func (l *latency) observe(d time.Duration) {
	l.all.Update(d.Seconds())
	// Longer latencies than the largest are beyond every deadline.
	_ = l.recent.Current.RecordValue(min(d.Microseconds(), largestLatency))
}

// worst returns the latency of the last minute that 1 % of the requests exceed.
func (l *latency) worst() time.Duration {
	return time.Duration(l.recent.Merge().ValueAtQuantile(worstQuantile)) * time.Microsecond
}

// New returns a meter without figures.
func New(c Config) *Meter {
	return &Meter{config: c, set: metrics.NewSet(), accounts: map[string]*account{}}
}

// Request is the end of a request as its caller saw it.
type Request struct {
	Route, Account string
	Duration       time.Duration
	// Refusal is nil if the caller got an answer of a target.
	Refusal *responder.Refusal
	// Admitted is true if the request took a token of its account.
	Admitted bool
}

// Observe counts a request that ended at now.
func (m *Meter) Observe(r Request, now time.Time) {
	result := resultAnswered
	if r.Refusal != nil {
		result = resultRefused
		m.set.GetOrCreateCounter(name(refusals, "reason", string(r.Refusal.Reason), "ran", string(r.Refusal.Ran))).Inc()
	}
	m.set.GetOrCreateCounter(name(requests, "route", r.Route, "result", result)).Inc()
	m.set.GetOrCreateHistogram(name(requestSeconds, "route", r.Route)).Update(r.Duration.Seconds())
	if r.Account != "" {
		m.observeAccount(r, now)
	}
}

func (m *Meter) observeAccount(r Request, now time.Time) {
	m.mu.Lock()
	a := m.account(r.Account, now)
	result := resultAnswered
	switch {
	case r.Refusal == nil:
		a.admitted++
		m.latency(r.Account, a, now).observe(r.Duration)
	case r.Refusal.Reason == responder.RateExceeded:
		result = resultOverRate
		a.overRate++
	case r.Admitted || r.Refusal.Reason == responder.NoOwner:
		result = resultWithinRate
		a.withinRate++
	default:
		result = resultRefused
	}
	m.mu.Unlock()
	m.set.GetOrCreateCounter(name(accounts, "account", r.Account, "result", result)).Inc()
}

// account returns the figures of an account; m.mu is held.
func (m *Meter) account(n string, now time.Time) *account {
	if now.Sub(m.rotated) > windowLength {
		m.rotate(now)
	}
	a, ok := m.accounts[n]
	if !ok {
		a = &account{}
		m.accounts[n] = a
	}
	a.seen = now
	return a
}

// rotate begins a window and drops the histograms of accounts that were idle; m.mu is held.
func (m *Meter) rotate(now time.Time) {
	m.rotated = now
	if m.others != nil {
		m.others.recent.Rotate()
	}
	for n, a := range m.accounts {
		switch {
		case a.latency == nil:
		case now.Sub(a.seen) > idleLife:
			m.set.UnregisterMetric(name(accountSeconds, "account", n))
			a.latency = nil
			m.own--
		default:
			a.latency.recent.Rotate()
		}
	}
}

// latency returns the histograms that count an answered request of an account; m.mu is held.
func (m *Meter) latency(n string, a *account, now time.Time) *latency {
	if a.latency == nil && m.own < m.config.AccountHistograms {
		a.latency = m.newLatency(name(accountSeconds, "account", n))
		m.own++
	}
	if a.latency != nil {
		return a.latency
	}
	if m.others == nil {
		m.others = m.newLatency(otherSeconds)
	}
	m.set.GetOrCreateCounter(shared).Inc()
	a.shared = now
	return m.others
}

// Account is the service that one client account got from this instance.
type Account struct {
	Name                           string
	Admitted, OverRate, WithinRate uint64
	// P99 is of the last minute; accounts without histograms of their own have that of all of them.
	P99 time.Duration
}

// Accounts returns the figures of all accounts by name.
func (m *Meter) Accounts() []Account {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others time.Duration
	if m.others != nil {
		others = m.others.worst()
	}
	r := make([]Account, 0, len(m.accounts))
	for n, a := range m.accounts {
		k := Account{Name: n, Admitted: a.admitted, OverRate: a.overRate, WithinRate: a.withinRate}
		switch {
		case a.latency != nil:
			k.P99 = a.latency.worst()
		case m.rotated.Sub(a.shared) < windows*windowLength:
			k.P99 = others
		}
		r = append(r, k)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// Lookup counts a look-up.
func (m *Meter) Lookup() {
	m.set.GetOrCreateCounter(lookups).Inc()
}

// Retry counts a request that was offered to another owner.
func (m *Meter) Retry() {
	m.set.GetOrCreateCounter(retries).Inc()
}

// TargetDrained records how long the last request on a draining target took to end.
func (m *Meter) TargetDrained(pool string, d time.Duration) {
	m.set.GetOrCreateHistogram(name(targetDrain, "pool", pool)).Update(d.Seconds())
}

// Pool is the state of the owned part of a pool.
type Pool struct {
	Slots, Free, Queued int
}

// ClaimOwners counts the writes of claims between instances and claim owners.
type ClaimOwners struct {
	// Sent counts writes sent to owners, Refusals those that these refused, and Fallbacks those that the instance made itself.
	Sent, Refusals, Fallbacks uint64
	// Accepted and Refused count writes that came from other instances.
	Accepted, Refused uint64
}

// State is read when the metrics are served.
type State struct {
	Pools         map[string]Pool
	InFlight      int64
	ProofAges     map[string]time.Duration
	ConfigVersion uint64
	StoreFailures int
	ClaimCommits  uint64
	ClaimsLost    uint64
	ClaimsRefused uint64
	ClaimOwners   ClaimOwners
	ShiftSteps    map[string]int
	// CertificateExpiries holds the time left for each certificate in use.
	CertificateExpiries map[string]time.Duration
}

// Write writes all metrics in the text format of Prometheus.
func (m *Meter) Write(w io.Writer, s State) {
	for n, p := range s.Pools {
		m.gauge(float64(p.Slots), slots, "pool", n)
		m.gauge(float64(p.Free), freeSlots, "pool", n)
		m.gauge(float64(p.Queued), queued, "pool", n)
	}
	for n, d := range s.ProofAges {
		m.gauge(d.Seconds(), proofAge, "scope", n)
	}
	for n, d := range s.CertificateExpiries {
		m.gauge(d.Seconds(), certExpiry, "certificate", n)
	}
	for n, k := range s.ShiftSteps {
		m.gauge(float64(k), shiftStep, "shift", n)
	}
	m.gauge(float64(s.InFlight), inFlight)
	m.gauge(float64(s.ConfigVersion), configVersion)
	m.gauge(float64(s.StoreFailures), storeFailures)
	m.set.GetOrCreateCounter(claimCommits).Set(s.ClaimCommits)
	m.set.GetOrCreateCounter(claimsLost).Set(s.ClaimsLost)
	m.set.GetOrCreateCounter(claimsRefused).Set(s.ClaimsRefused)
	m.set.GetOrCreateCounter(claimsSent).Set(s.ClaimOwners.Sent)
	m.set.GetOrCreateCounter(claimFallbacks).Set(s.ClaimOwners.Fallbacks)
	m.set.GetOrCreateCounter(claimRefusals).Set(s.ClaimOwners.Refusals)
	m.set.GetOrCreateCounter(claimsAccepted).Set(s.ClaimOwners.Accepted)
	m.set.GetOrCreateCounter(claimsDeclined).Set(s.ClaimOwners.Refused)
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Meter) gauge(v float64, n string, labels ...string) {
	m.set.GetOrCreateFloatCounter(name(n, labels...)).Set(v)
}

// name returns a metric name with labels, given as names and values in turn.
func name(n string, labels ...string) string {
	if len(labels) == 0 {
		return n
	}
	var b strings.Builder
	b.WriteString(n + "{")
	for p := range slices.Chunk(labels, 2) {
		if b.Len() > len(n)+1 {
			b.WriteByte(',')
		}
		_, _ = fmt.Fprintf(&b, "%s=%q", p[0], p[1])
	}
	b.WriteByte('}')
	return b.String()
}
