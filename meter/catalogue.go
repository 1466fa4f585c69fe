package meter

// Kind is a metric type of Prometheus.
type Kind string

// The metric types in use.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Metric describes a metric.
type Metric struct {
	Name string
	Kind Kind
	Unit string
	// Labels are the label names, separated by commas.
	Labels string
}

const (
	requests           = "celeryhead_requests_total"
	requestSeconds     = "celeryhead_request_seconds"
	refusals           = "celeryhead_refusals_total"
	accountRequests    = "celeryhead_account_requests_total"
	accountSeconds     = "celeryhead_account_request_seconds"
	otherSeconds       = "celeryhead_other_accounts_request_seconds"
	sharedLatencies    = "celeryhead_account_latencies_shared_total"
	lookups            = "celeryhead_lookups_total"
	slots              = "celeryhead_slots"
	freeSlots          = "celeryhead_slots_free"
	queued             = "celeryhead_queued"
	inFlight           = "celeryhead_requests_in_flight"
	targetDrain        = "celeryhead_target_drain_seconds"
	proofAge           = "celeryhead_proof_age_seconds"
	configVersion      = "celeryhead_config_version"
	tableDifferences   = "celeryhead_table_differences_total"
	storeEra           = "celeryhead_store_era"
	storeRowsLost      = "celeryhead_store_rows_lost_total"
	storeRowsKept      = "celeryhead_store_rows_kept_total"
	certExpiry         = "celeryhead_certificate_expiry_seconds"
	storeFailures      = "celeryhead_store_failures"
	claimCommits       = "celeryhead_claim_transactions_total"
	claimsDropped      = "celeryhead_claims_dropped_total"
	claimsUnavailable  = "celeryhead_claims_unavailable_total"
	claimsSent         = "celeryhead_claims_sent_total"
	claimFallbacks     = "celeryhead_claim_fallbacks_total"
	claimOwnerRefusals = "celeryhead_claim_owner_refusals_total"
	claimsAccepted     = "celeryhead_claims_accepted_total"
	claimsDeclined     = "celeryhead_claims_declined_total"
	unhandled          = "celeryhead_unhandled_answers_total"
	retries            = "celeryhead_retries_total"
	hedges             = "celeryhead_hedges_total"
	hedgesWon          = "celeryhead_hedges_won_total"
	targetLeaves       = "celeryhead_target_leaves_total"
	targetRests        = "celeryhead_target_rests_total"
	targetRates        = "celeryhead_target_rates_total"
	earlyStarts        = "celeryhead_early_starts_total"
	earlyTakeovers     = "celeryhead_early_takeovers_total"
	earlyDrops         = "celeryhead_early_drops_total"
	unreadableLoads    = "celeryhead_unreadable_loads_total"
	shiftStep          = "celeryhead_shift_step"
	admissionDenied    = "celeryhead_admission_denied_total"
	admissionBytes     = "celeryhead_admission_bytes"
	admissionFDs       = "celeryhead_admission_descriptors"
	admissionMaxBytes  = "celeryhead_admission_max_bytes"
	admissionMaxFDs    = "celeryhead_admission_max_descriptors"
)

// Catalogue returns descriptions of all metrics.
func Catalogue() []Metric {
	return []Metric{
		{requests, Counter, "requests", "route, result"},
		{requestSeconds, Histogram, "seconds", "route"},
		{refusals, Counter, "requests", "reason, ran"},
		{accountRequests, Counter, "requests", "account, result"},
		{accountSeconds, Histogram, "seconds", "account"},
		{otherSeconds, Histogram, "seconds", ""},
		{sharedLatencies, Counter, "requests", ""},
		{lookups, Counter, "look-ups", ""},
		{slots, Gauge, "slots", "pool"},
		{freeSlots, Gauge, "slots", "pool"},
		{queued, Gauge, "requests", "pool"},
		{inFlight, Gauge, "requests", ""},
		{targetDrain, Histogram, "seconds", "pool"},
		{proofAge, Gauge, "seconds", "scope"},
		{configVersion, Gauge, "version", ""},
		{tableDifferences, Counter, "events", ""},
		{storeEra, Gauge, "restores", ""},
		{storeRowsLost, Counter, "rows", ""},
		{storeRowsKept, Counter, "rows", ""},
		{certExpiry, Gauge, "seconds", "certificate"},
		{storeFailures, Gauge, "calls", ""},
		{claimCommits, Counter, "transactions", ""},
		{claimsDropped, Counter, "claims", ""},
		{claimsUnavailable, Counter, "requests", ""},
		{claimsSent, Counter, "writes", ""},
		{claimFallbacks, Counter, "writes", ""},
		{claimOwnerRefusals, Counter, "writes", ""},
		{claimsAccepted, Counter, "writes", ""},
		{claimsDeclined, Counter, "writes", ""},
		{unhandled, Counter, "answers", "status"},
		{retries, Counter, "sendings", ""},
		{hedges, Counter, "sendings", ""},
		{hedgesWon, Counter, "sendings", ""},
		{targetLeaves, Counter, "targets", ""},
		{targetRests, Counter, "rests", ""},
		{targetRates, Counter, "statements", ""},
		{earlyStarts, Counter, "requests", ""},
		{earlyTakeovers, Counter, "requests", ""},
		{earlyDrops, Counter, "requests", ""},
		{unreadableLoads, Counter, "reports", ""},
		{shiftStep, Gauge, "steps", "shift"},
		{admissionDenied, Counter, "events", "listener, reason"},
		{admissionBytes, Gauge, "bytes", "listener"},
		{admissionFDs, Gauge, "descriptors", "listener"},
		{admissionMaxBytes, Gauge, "bytes", "listener"},
		{admissionMaxFDs, Gauge, "descriptors", "listener"},
	}
}
