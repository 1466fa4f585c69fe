package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/tracker"
)

// timeoutsToClose is the number of timeouts in a row after which the connections to a peer are closed.
const timeoutsToClose = 2

// links keeps a client of the peer service for each instance.
type links struct {
	// tls returns the settings of a connection that is opened.
	tls func() *tls.Config
	// addresses are dialed in place of those that instances announce, by name.
	addresses map[string]netip.AddrPort

	mu    sync.Mutex
	peers map[netip.AddrPort]*link
}

// link is a client that closes its connections when they seem to have gone silent.
type link struct {
	messenger.Peer
	transport *http.Transport

	mu       sync.Mutex
	timeouts int
}

func newLinks(t func() *tls.Config, addresses map[string]netip.AddrPort) *links {
	return &links{tls: t, addresses: addresses, peers: map[netip.AddrPort]*link{}}
}

// address returns where the peer listener of an instance is dialed.
func (l *links) address(i tracker.Instance) netip.AddrPort {
	if a, ok := l.addresses[i.Name]; ok {
		return a
	}
	return i.Peer
}

// Peer returns the client for an instance.
func (l *links) Peer(i tracker.Instance) messenger.Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.address(i)
	if k, ok := l.peers[a]; ok {
		return k
	}
	k := &link{}
	// A transport with its own TLS settings does not use HTTP/2, so calls do not share one connection that may be silent.
	k.transport = &http.Transport{
		MaxIdleConnsPerHost:    4,
		IdleConnTimeout:        10 * time.Second,
		DialTLSContext:         l.dial,
		MaxResponseHeaderBytes: messenger.MaxResponseHeader,
	}
	k.Peer = messenger.NewPeerProtobufClient("https://"+a.String(), &http.Client{Transport: messenger.LimitResponses(k, maxPeerResponse)})
	l.peers[a] = k
	return k
}

// maxPeerResponse bounds the answer of a peer in bytes: a whole configuration and what comes with it.
const maxPeerResponse = chunker.MaxText + 1<<20

// dialTimeout bounds opening a connection to a peer, TLS handshake included.
const dialTimeout = time.Second

// dial opens a connection with the certificates in use now.
func (l *links) dial(ctx context.Context, network, address string) (net.Conn, error) {
	x, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := tls.Dialer{Config: l.tls()}
	return d.DialContext(x, network, address)
}

// closeIdle closes the connections that no call uses.
func (l *links) closeIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.peers {
		k.transport.CloseIdleConnections()
	}
}

// RoundTrip counts timeouts in a row.
func (k *link) RoundTrip(r *http.Request) (*http.Response, error) {
	p, err := k.transport.RoundTrip(r)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil {
		k.timeouts = 0
		return p, nil
	}
	if isTimeout(err) {
		k.timeouts++
	}
	if k.timeouts >= timeoutsToClose {
		k.timeouts = 0
		k.transport.CloseIdleConnections()
	}
	return nil, err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &n) && n.Timeout()
}
