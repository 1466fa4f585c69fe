package meter

// Kind is the kind of a metric.
type Kind string

// The kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric is an entry of the catalogue.
type Metric struct {
	Name   string
	Kind   Kind
	Unit   string
	Labels string
}

const (
	requests       = "celeryhead_requests_total"
	requestSeconds = "celeryhead_request_seconds"
	refusals       = "celeryhead_refusals_total"
	accounts       = "celeryhead_account_requests_total"
	accountSeconds = "celeryhead_account_request_seconds"
	otherSeconds   = "celeryhead_other_accounts_request_seconds"
	shared         = "celeryhead_account_latencies_shared_total"
	lookups        = "celeryhead_lookups_total"
	slots          = "celeryhead_slots"
	freeSlots      = "celeryhead_slots_free"
	queued         = "celeryhead_queued"
	inFlight       = "celeryhead_requests_in_flight"
	targetDrain    = "celeryhead_target_drain_seconds"
	proofAge       = "celeryhead_proof_age_seconds"
	configVersion  = "celeryhead_config_version"
	certExpiry     = "celeryhead_certificate_expiry_seconds"
	storeFailures  = "celeryhead_store_failures"
	claimCommits   = "celeryhead_claim_transactions_total"
	claimsLost     = "celeryhead_claims_dropped_total"
	claimsRefused  = "celeryhead_claims_unavailable_total"
	claimsSent     = "celeryhead_claims_sent_total"
	claimFallbacks = "celeryhead_claim_fallbacks_total"
	claimRefusals  = "celeryhead_claim_owner_refusals_total"
	claimsAccepted = "celeryhead_claims_accepted_total"
	claimsDeclined = "celeryhead_claims_declined_total"
	retries        = "celeryhead_retries_total"
	shiftStep      = "celeryhead_shift_step"
)

// Catalogue returns all metrics.
func Catalogue() []Metric {
	return []Metric{
		{requests, Counter, "requests", "route, result"},
		{requestSeconds, Histogram, "seconds", "route"},
		{refusals, Counter, "requests", "reason, ran"},
		{accounts, Counter, "requests", "account, result"},
		{accountSeconds, Histogram, "seconds", "account"},
		{otherSeconds, Histogram, "seconds", ""},
		{shared, Counter, "requests", ""},
		{lookups, Counter, "look-ups", ""},
		{slots, Gauge, "slots", "pool"},
		{freeSlots, Gauge, "slots", "pool"},
		{queued, Gauge, "requests", "pool"},
		{inFlight, Gauge, "requests", ""},
		{targetDrain, Histogram, "seconds", "pool"},
		{proofAge, Gauge, "seconds", "scope"},
		{configVersion, Gauge, "version", ""},
		{certExpiry, Gauge, "seconds", "certificate"},
		{storeFailures, Gauge, "calls", ""},
		{claimCommits, Counter, "transactions", ""},
		{claimsLost, Counter, "claims", ""},
		{claimsRefused, Counter, "requests", ""},
		{claimsSent, Counter, "writes", ""},
		{claimFallbacks, Counter, "writes", ""},
		{claimRefusals, Counter, "writes", ""},
		{claimsAccepted, Counter, "writes", ""},
		{claimsDeclined, Counter, "writes", ""},
		{retries, Counter, "sendings", ""},
		{shiftStep, Gauge, "steps", "shift"},
	}
}
