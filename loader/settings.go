package loader

import (
	"net/netip"
	"time"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	Name          string
	Region        string
	FailureDomain string
	Listeners     Listeners
	TLS           TLS
	Platform      Platform
	Timing        Timing
	Limits        Limits
	Log           Log
	// PeerAddresses are dialed in place of the addresses that peers announce, by the peer's name, where a link between
	// regions translates addresses.
	PeerAddresses map[string]netip.AddrPort
}

// Listeners are the addresses a daemon listens on.
type Listeners struct {
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	Metrics   netip.AddrPort
}

// TLS names the PEM files of the daemon.
type TLS struct {
	// Authority, Certificate and Key protect the listeners for peers and operators.
	Authority, Certificate, Key string
	// CallersCertificate and CallersKey are empty for a listener without TLS.
	CallersCertificate, CallersKey string
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Store []netip.AddrPort
	List  []netip.AddrPort
	// StoreTimeout bounds one store call.
	StoreTimeout time.Duration
}

// Timing holds the durations of membership and freshness; all instances of a deployment use the same values.
type Timing struct {
	Freshness time.Duration
	Heartbeat time.Duration
	Suspicion time.Duration
	ListLag   time.Duration
	ListAge   time.Duration
	// DrainLimit bounds a graceful shutdown.
	DrainLimit time.Duration
}

// Limits bounds what one caller or request may use.
type Limits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request; 0 is no bound.
	BodyBytes int64
	// Queue is the number of requests that may wait for each pool.
	Queue int
	// AccountHistograms is the number of accounts whose latency is counted on its own; the others share a histogram.
	AccountHistograms int
}

// Log configures the log.
type Log struct {
	Level  string
	Format string
}

// Default returns the settings that a file may leave out.
func Default() Settings {
	return Settings{
		Platform: Platform{StoreTimeout: time.Second},
		Timing: Timing{
			Freshness:  3 * time.Second,
			Heartbeat:  500 * time.Millisecond,
			Suspicion:  1500 * time.Millisecond,
			ListLag:    10 * time.Second,
			ListAge:    3 * time.Second,
			DrainLimit: time.Minute,
		},
		Limits: Limits{HeaderBytes: 64 << 10, BodyBytes: 64 << 20, Queue: 256, AccountHistograms: 100},
		Log:    Log{Level: "info", Format: "json"},
	}
}
