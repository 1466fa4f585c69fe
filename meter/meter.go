package meter

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"

	"celeryhead.dev/celeryhead/responder"
)

// Values of the label result.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
	// resultOverRate and resultWithinRate classify the refusals of an account. A refusal is within the rate if the request
	// had taken a token, or if no owner of a bucket part replied. Other refusals are resultRefused.
	resultOverRate   = "refused_over_rate"
	resultWithinRate = "refused_within_rate"
)

const (
	// The reported latency of an account covers the last latencyWindows windows of length latencyWindow.
	latencyWindows = 6
	latencyWindow  = 10 * time.Second
	// Latency histograms range from 1 us to maxLatency, in microseconds, with significantDigits decimal digits.
	maxLatency         = int64(time.Minute / time.Microsecond)
	significantDigits  = 2
	reportedPercentile = 99
	// idleTimeout is how long an account without requests keeps its own histograms.
	idleTimeout = 10 * time.Minute
)

// Config configures a Meter.
type Config struct {
	// AccountHistograms limits the accounts with their own histograms. The other accounts share one set of histograms.
	AccountHistograms int
}

// Meter holds the metrics of one instance; it is safe for concurrent use.
type Meter struct {
	config Config
	set    *metrics.Set

	mu           sync.Mutex
	accounts     map[string]*account
	lastRotation time.Time
	// ownHistograms is the number of accounts with their own histograms.
	ownHistograms int
	// others holds the latencies of the accounts without their own histograms. It is nil until there is such an account.
	others *latency
}

// account holds the counters and histograms of one client account.
type account struct {
	admitted, overRate, withinRate uint64
	// lastRequest is when the last request ended.
	lastRequest time.Time
	// latency is nil while the account does not have its own histograms.
	latency *latency
	// lastShared is when the last request ended whose latency was recorded in Meter.others.
	lastShared time.Time
}

// latency holds the latency histograms of one account, or of all accounts that share them.
type latency struct {
	// total is the exported histogram.
	total *metrics.Histogram
	// recent covers the last latencyWindows windows.
	recent *hdrhistogram.WindowedHistogram
}

func (m *Meter) newLatency(name string) *latency {
	return &latency{
		total:  m.set.GetOrCreateHistogram(name),
		recent: hdrhistogram.NewWindowed(latencyWindows, 1, maxLatency, significantDigits),
	}
}

func (l *latency) observe(d time.Duration) {
	l.total.Update(d.Seconds())
	// Latencies above maxLatency are recorded as maxLatency.
	_ = l.recent.Current.RecordValue(min(d.Microseconds(), maxLatency))
}

// p99 returns the 99th percentile of the latencies in the last latencyWindows windows.
func (l *latency) p99() time.Duration {
	return time.Duration(l.recent.Merge().ValueAtQuantile(reportedPercentile)) * time.Microsecond
}

// New returns an empty Meter.
func New(c Config) *Meter {
	return &Meter{config: c, set: metrics.NewSet(), accounts: map[string]*account{}}
}

// Request is the outcome of a request as seen by its caller.
type Request struct {
	Route, Account string
	Duration       time.Duration
	// Refusal is nil if the caller received the response of a target.
	Refusal *responder.Refusal
	// Admitted is true if the request took a token from the bucket of its account.
	Admitted bool
}

// Observe records a request that ended at now.
func (m *Meter) Observe(r Request, now time.Time) {
	result := resultAnswered
	if r.Refusal != nil {
		result = resultRefused
		m.set.GetOrCreateCounter(metricName(refusals, "reason", string(r.Refusal.Reason), "ran", string(r.Refusal.Ran))).Inc()
	}
	m.set.GetOrCreateCounter(metricName(requests, "route", r.Route, "result", result)).Inc()
	m.set.GetOrCreateHistogram(metricName(requestSeconds, "route", r.Route)).Update(r.Duration.Seconds())
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
	m.set.GetOrCreateCounter(metricName(accountRequests, "account", r.Account, "result", result)).Inc()
}

// account returns the state of an account, creating it if needed, and starts a new latency window if one is due; m.mu is
// held.
func (m *Meter) account(n string, now time.Time) *account {
	if now.Sub(m.lastRotation) > latencyWindow {
		m.rotate(now)
	}
	a, ok := m.accounts[n]
	if !ok {
		a = &account{}
		m.accounts[n] = a
	}
	a.lastRequest = now
	return a
}

// rotate starts a new latency window and removes the histograms of idle accounts; m.mu is held.
func (m *Meter) rotate(now time.Time) {
	m.lastRotation = now
	if m.others != nil {
		m.others.recent.Rotate()
	}
	for n, a := range m.accounts {
		switch {
		case a.latency == nil:
		case now.Sub(a.lastRequest) > idleTimeout:
			m.set.UnregisterMetric(metricName(accountSeconds, "account", n))
			a.latency = nil
			m.ownHistograms--
		default:
			a.latency.recent.Rotate()
		}
	}
}

// latency returns the histograms in which to record an answered request of an account, its own or the shared ones; m.mu
// is held.
func (m *Meter) latency(n string, a *account, now time.Time) *latency {
	if a.latency == nil && m.ownHistograms < m.config.AccountHistograms {
		a.latency = m.newLatency(metricName(accountSeconds, "account", n))
		m.ownHistograms++
	}
	if a.latency != nil {
		return a.latency
	}
	if m.others == nil {
		m.others = m.newLatency(otherSeconds)
	}
	m.set.GetOrCreateCounter(sharedLatencies).Inc()
	a.lastShared = now
	return m.others
}

// Account holds the request counts and latency of one client account at this instance.
type Account struct {
	Name                           string
	Admitted, OverRate, WithinRate uint64
	// P99 is the 99th percentile of the latencies of about the last minute. An account without its own histograms reports
	// that of all such accounts together, or 0 if it had no answered request in that time.
	P99 time.Duration
}

// Accounts returns the statistics of all accounts, sorted by name.
func (m *Meter) Accounts() []Account {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others time.Duration
	if m.others != nil {
		others = m.others.p99()
	}
	r := make([]Account, 0, len(m.accounts))
	for n, a := range m.accounts {
		k := Account{Name: n, Admitted: a.admitted, OverRate: a.overRate, WithinRate: a.withinRate}
		switch {
		case a.latency != nil:
			k.P99 = a.latency.p99()
		case m.lastRotation.Sub(a.lastShared) < latencyWindows*latencyWindow:
			k.P99 = others
		}
		r = append(r, k)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Name < r[j].Name })
	return r
}

// Lookup counts a lookup.
func (m *Meter) Lookup() {
	m.set.GetOrCreateCounter(lookups).Inc()
}

// Unhandled counts an answer that net/http gave without calling a handler.
func (m *Meter) Unhandled(status int) {
	m.set.GetOrCreateCounter(metricName(unhandled, "status", strconv.Itoa(status))).Inc()
}

// AdmissionDenied counts a connection that was closed, or a request that was refused, to stay within the budgets of a listener.
func (m *Meter) AdmissionDenied(listener, reason string) {
	m.set.GetOrCreateCounter(metricName(admissionDenied, "listener", listener, "reason", reason)).Inc()
}

// Retry counts a request that was resent to another owner.
func (m *Meter) Retry() {
	m.set.GetOrCreateCounter(retries).Inc()
}

// Hedge counts a second attempt that was sent while the first one was unanswered.
func (m *Meter) Hedge() {
	m.set.GetOrCreateCounter(hedges).Inc()
}

// HedgeWon counts a second attempt whose answer the caller got.
func (m *Meter) HedgeWon() {
	m.set.GetOrCreateCounter(hedgesWon).Inc()
}

// TargetLeaves counts a target that said in an answer that it leaves.
func (m *Meter) TargetLeaves() {
	m.set.GetOrCreateCounter(targetLeaves).Inc()
}

// TargetRests counts a rest that a target asked for in an answer.
func (m *Meter) TargetRests() {
	m.set.GetOrCreateCounter(targetRests).Inc()
}

// TargetStatesRate counts a statement of another rate of requests in an answer of a target.
func (m *Meter) TargetStatesRate() {
	m.set.GetOrCreateCounter(targetRates).Inc()
}

// EarlyStart counts a pipelined request that was started before its turn.
func (m *Meter) EarlyStart() {
	m.set.GetOrCreateCounter(earlyStarts).Inc()
}

// EarlyTakeover counts a request that was started before its turn and whose turn came.
func (m *Meter) EarlyTakeover() {
	m.set.GetOrCreateCounter(earlyTakeovers).Inc()
}

// EarlyDrop counts a request that was started before its turn, which never came.
func (m *Meter) EarlyDrop() {
	m.set.GetOrCreateCounter(earlyDrops).Inc()
}

// LoadUnreadable counts a load report of a target that cannot be used, in whole or in part.
func (m *Meter) LoadUnreadable() {
	m.set.GetOrCreateCounter(unreadableLoads).Inc()
}

// TargetDrained records how long a target took from the start of its drain until its last request ended.
func (m *Meter) TargetDrained(pool string, d time.Duration) {
	m.set.GetOrCreateHistogram(metricName(targetDrain, "pool", pool)).Update(d.Seconds())
}

// Pool holds the slot and queue counts of the part of a pool that this instance owns.
type Pool struct {
	Slots, Free, Queued int
}

// Budget is what a listener uses of its budget, and the size of the budget.
type Budget struct {
	Bytes, MaxBytes             int64
	Descriptors, MaxDescriptors int
}

// ClaimOwners counts claim writes sent to, and received by, claim owners.
type ClaimOwners struct {
	// Sent counts writes sent to owners, Refusals those that the owners refused, and Fallbacks those that this instance
	// made itself instead.
	Sent, Refusals, Fallbacks uint64
	// Accepted and Refused count writes received from other instances.
	Accepted, Refused uint64
}

// State holds the values that are read when the metrics are served.
type State struct {
	Pools         map[string]Pool
	Budgets       map[string]Budget
	InFlight      int64
	ProofAges     map[string]time.Duration
	ConfigVersion uint64
	// TableDifferences is how often a peer had other rows of a table at the same version.
	TableDifferences uint64
	Restores         Restores
	StoreFailures    int
	ClaimCommits     uint64
	ClaimsLost       uint64
	ClaimsRefused    uint64
	ClaimOwners      ClaimOwners
	ShiftSteps       map[string]int
	// CertificateExpiries holds the remaining validity of each certificate in use.
	CertificateExpiries map[string]time.Duration
}

// Restores tells about restores of the store from older snapshots.
type Restores struct {
	// Era is the number of restores.
	Era uint64
	// Lost is the number of rows that this instance knew and the store lost; Kept is how many of them stayed in force.
	Lost, Kept uint64
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer, s State) {
	for n, p := range s.Pools {
		m.gauge(float64(p.Slots), slots, "pool", n)
		m.gauge(float64(p.Free), freeSlots, "pool", n)
		m.gauge(float64(p.Queued), queued, "pool", n)
	}
	for n, b := range s.Budgets {
		m.gauge(float64(b.Bytes), admissionBytes, "listener", n)
		m.gauge(float64(b.Descriptors), admissionFDs, "listener", n)
		m.gauge(float64(b.MaxBytes), admissionMaxBytes, "listener", n)
		m.gauge(float64(b.MaxDescriptors), admissionMaxFDs, "listener", n)
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
	m.set.GetOrCreateCounter(tableDifferences).Set(s.TableDifferences)
	m.gauge(float64(s.Restores.Era), storeEra)
	m.set.GetOrCreateCounter(storeRowsLost).Set(s.Restores.Lost)
	m.set.GetOrCreateCounter(storeRowsKept).Set(s.Restores.Kept)
	m.set.GetOrCreateCounter(claimCommits).Set(s.ClaimCommits)
	m.set.GetOrCreateCounter(claimsDropped).Set(s.ClaimsLost)
	m.set.GetOrCreateCounter(claimsUnavailable).Set(s.ClaimsRefused)
	m.set.GetOrCreateCounter(claimsSent).Set(s.ClaimOwners.Sent)
	m.set.GetOrCreateCounter(claimFallbacks).Set(s.ClaimOwners.Fallbacks)
	m.set.GetOrCreateCounter(claimOwnerRefusals).Set(s.ClaimOwners.Refusals)
	m.set.GetOrCreateCounter(claimsAccepted).Set(s.ClaimOwners.Accepted)
	m.set.GetOrCreateCounter(claimsDeclined).Set(s.ClaimOwners.Refused)
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (m *Meter) gauge(v float64, n string, labels ...string) {
	m.set.GetOrCreateFloatCounter(metricName(n, labels...)).Set(v)
}

// metricName returns a metric name with labels, given as alternating names and values.
func metricName(n string, labels ...string) string {
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
