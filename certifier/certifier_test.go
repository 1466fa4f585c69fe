package certifier_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/certifier"
)

var loopback = netip.MustParseAddr("127.0.0.1")

// Guards the peers' and operators' listeners against strangers, other roles and other deployments.
func TestListenerAcceptsOnlyItsRole(t *testing.T) {
	now := time.Now()
	a, b := authority(t, now), authority(t, now)
	day := 24 * time.Hour
	cases := []struct {
		name   string
		client certifier.Config
		role   certifier.Role
		ok     bool
	}{
		{"peer to peers", holder(t, a, a, certifier.Peer, now, day), certifier.Peer, true},
		{"operator to operators", holder(t, a, a, certifier.Operator, now, day), certifier.Operator, true},
		{"operator to peers", holder(t, a, a, certifier.Operator, now, day), certifier.Peer, false},
		{"peer to operators", holder(t, a, a, certifier.Peer, now, day), certifier.Operator, false},
		{"other authority", holder(t, b, a, certifier.Peer, now, day), certifier.Peer, false},
		{"expired", holder(t, a, a, certifier.Peer, now.Add(-2*day), day), certifier.Peer, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := certifier.ServerConfig(holder(t, a, a, certifier.Peer, now, day), c.role)
			if err != nil {
				t.Fatal(err)
			}
			k, err := certifier.ClientConfig(c.client)
			if err != nil {
				t.Fatal(err)
			}
			k.ServerName = loopback.String()
			if got := exchange(t, s, k); got != c.ok {
				t.Fatalf("exchange succeeded: %v, want %v", got, c.ok)
			}
		})
	}
	t.Run("no certificate", func(t *testing.T) {
		s, err := certifier.ServerConfig(holder(t, a, a, certifier.Peer, now, day), certifier.Peer)
		if err != nil {
			t.Fatal(err)
		}
		if exchange(t, s, &tls.Config{InsecureSkipVerify: true}) {
			t.Fatal("a client without a certificate read from the server")
		}
	})
}

// Guards against an authority that cannot be used again after it was saved.
func TestAuthorityIsLoadable(t *testing.T) {
	now := time.Now()
	a := authority(t, now)
	b, err := certifier.LoadAuthority(a.Pair())
	if err != nil {
		t.Fatal(err)
	}
	s, err := certifier.ServerConfig(holder(t, b, a, certifier.Peer, now, time.Hour), certifier.Peer)
	if err != nil {
		t.Fatal(err)
	}
	k, err := certifier.ClientConfig(holder(t, a, b, certifier.Peer, now, time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	k.ServerName = loopback.String()
	if !exchange(t, s, k) {
		t.Fatal("certificates of the loaded authority were refused")
	}
}

func authority(t *testing.T, now time.Time) *certifier.Authority {
	t.Helper()
	a, err := certifier.NewAuthority("test", now, 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func holder(t *testing.T, signer, trusted *certifier.Authority, r certifier.Role, now time.Time, d time.Duration) certifier.Config {
	t.Helper()
	p, err := signer.Issue(r, "holder", now, d, loopback)
	if err != nil {
		t.Fatal(err)
	}
	return certifier.Config{Authority: trusted.Pair().Certificate, Pair: p}
}

// exchange reports whether the client read the server's byte.
func exchange(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	return exchangeWith(t, server, client, nil)
}

// exchangeWith also returns the server's side of the connection in state, unless that is nil.
func exchangeWith(t *testing.T, server, client *tls.Config, state *tls.ConnectionState) bool {
	t.Helper()
	s, c := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = s.Close() }()
		k := tls.Server(s, server)
		if err := k.Handshake(); err != nil {
			return
		}
		if state != nil {
			*state = k.ConnectionState()
		}
		_, _ = k.Write([]byte{1})
	}()
	k := tls.Client(c, client)
	_, err := io.ReadFull(k, make([]byte, 1))
	_ = c.Close()
	<-done
	return err == nil
}
