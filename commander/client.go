package commander

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/operator"
)

// Defaults of Config.
const (
	defaultDialTimeout = 2 * time.Second
	// defaultCallTimeout covers the attempts of an instance to commit, and its wait until a change is in force.
	defaultCallTimeout = 20 * time.Second
)

// maxResponse bounds an answer in bytes: a whole configuration and what comes with it.
const maxResponse = chunker.MaxText + 1<<20

// client calls the instances in turn, beginning with the last one that answered.
type client struct {
	servers  []string
	services []messenger.Operator
	// next is the service that is called next.
	next int
	// timeout bounds a call.
	timeout time.Duration
}

func connect(c Config, o *options) (*client, error) {
	if len(o.servers) == 0 || o.ca == "" || o.cert == "" || o.key == "" {
		return nil, merry.Append(errUsage, "--server, --ca, --cert and --key are required")
	}
	t, err := tlsConfig(o)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		TLSClientConfig:     t,
		DialContext:         (&net.Dialer{Timeout: c.DialTimeout}).DialContext,
		TLSHandshakeTimeout: c.DialTimeout,
		// An idle connection may have gone silent, and commands make few calls.
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: messenger.MaxResponseHeader,
	}
	limited := &http.Client{Transport: messenger.LimitResponses(transport, maxResponse)}
	k := &client{timeout: c.CallTimeout}
	for _, s := range o.servers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, merry.Appendf(errUsage, "--server %q is not an IP address and port", s)
		}
		k.servers = append(k.servers, a.String())
		k.services = append(k.services, messenger.NewOperatorProtobufClient("https://"+a.String(), limited))
	}
	return k, nil
}

func tlsConfig(o *options) (*tls.Config, error) {
	pem, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, merry.Prepend(err, "--ca")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, merry.Append(errUsage, "--ca holds no certificate")
	}
	cert, err := tls.LoadX509KeyPair(o.cert, o.key)
	if err != nil {
		return nil, merry.Prepend(err, "--cert and --key")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		RootCAs:      roots,
		Certificates: []tls.Certificate{cert},
		ServerName:   o.name,
	}, nil
}

// failure is the error of a round in which no instance could do what was asked.
type failure struct {
	// mayHaveRun is true if an instance may have done it without an answer reaching us.
	mayHaveRun bool
	last       error
}

func (f *failure) Error() string {
	return f.last.Error()
}

func (f *failure) Unwrap() error {
	return f.last
}

// call is one call of the operator service.
type call[T any] func(context.Context, messenger.Operator) (T, error)

// tryEach makes a call on each instance until one gives an answer that the next could not better.
//
// Its error is a failure, or the refusal of an instance.
func tryEach[T any](ctx context.Context, c *client, f call[T]) (T, error) {
	var zero T
	failed := &failure{}
	for range c.services {
		v, err := try(ctx, c, f)
		if err == nil {
			return v, nil
		}
		if !isRetryable(err) {
			return zero, err
		}
		failed.mayHaveRun = failed.mayHaveRun || mayHaveRun(err)
		failed.last = merry.Prepend(err, c.servers[c.next])
		c.next = (c.next + 1) % len(c.services)
	}
	return zero, failed
}

func try[T any](ctx context.Context, c *client, f call[T]) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return f(ctx, c.services[c.next])
}

// isRetryable reports whether another instance may do better.
func isRetryable(err error) bool {
	var e twirp.Error
	if !errors.As(err, &e) {
		return true
	}
	switch e.Code() {
	case twirp.InvalidArgument, twirp.NotFound, twirp.AlreadyExists, twirp.PermissionDenied, twirp.Unauthenticated,
		twirp.FailedPrecondition, twirp.OutOfRange, twirp.Unimplemented, twirp.Malformed:
		return false
	default:
		return true
	}
}

// mayHaveRun is false only if the call cannot have had an effect.
func mayHaveRun(err error) bool {
	var e twirp.Error
	if errors.As(err, &e) && e.Meta(operator.MetaOutcome) == operator.OutcomeNotApplied {
		return false
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// read makes a call without an effect on the instances, once each at most.
func read[T any](ctx context.Context, c *client, f call[T]) (T, error) {
	v, err := tryEach(ctx, c, f)
	return v, unreachable(err)
}

// unreachable marks a failure, and leaves the refusal of an instance as it is.
func unreachable(err error) error {
	var f *failure
	if errors.As(err, &f) {
		return merry.Wrap(errUnreachable, merry.WithCause(err))
	}
	return err
}
