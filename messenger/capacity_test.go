package messenger_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/messenger"
)

func beat(pools int) *messenger.Beat {
	m := &messenger.Beat{
		From: &messenger.Member{
			Name: "almaty-1-instance-07", Incarnation: 1 << 60, Region: "almaty", FailureDomain: "almaty_1",
			CallerAddress: "10.11.12.13:8443", PeerAddress: "10.11.12.13:8444", State: "active",
		},
		HeadsVersion: 100_000, ConfigVersion: 90_000, ReleasedVersion: 100_000, Acts: true, Rate: 123.4,
	}
	for i := range pools {
		m.Loads = append(m.Loads, &messenger.PoolLoad{Pool: fmt.Sprintf("pool-%03d", i), Slots: 48, Free: 20, Queued: 3})
	}
	return m
}

// BenchmarkBeatSize reports the encoded size of a heartbeat that reports the loads of some pools.
func BenchmarkBeatSize(b *testing.B) {
	for _, n := range []int{0, 3, 30, 140} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := beat(n)
			size := 0
			for b.Loop() {
				x, err := proto.Marshal(m)
				if err != nil {
					b.Fatal(err)
				}
				var y messenger.Beat
				if err := proto.Unmarshal(x, &y); err != nil {
					b.Fatal(err)
				}
				size = len(x)
			}
			b.ReportMetric(float64(size), "B/beat")
		})
	}
}

// peer answers heartbeats and grants, and nothing else.
type peer struct {
	messenger.Peer
}

func (peer) Heartbeat(context.Context, *messenger.Beat) (*messenger.Beat, error) {
	return beat(3), nil
}

func (peer) Grant(context.Context, *messenger.GrantRequest) (*messenger.GrantReply, error) {
	return &messenger.GrantReply{Tokens: 40, LifeUs: 500_000}, nil
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// mutual starts a peer service over mutual TLS and returns a function that makes clients; the counter holds the
// bytes that clients sent and received.
func mutual(b *testing.B) (connect func() messenger.Peer, count *atomic.Int64) {
	now := time.Now()
	a, err := certifier.NewAuthority("test", now, time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	p, err := a.Issue(certifier.Peer, "i1", now, time.Hour, netip.MustParseAddr("127.0.0.1"))
	if err != nil {
		b.Fatal(err)
	}
	k := certifier.Config{Authority: a.Pair().Certificate, Pair: p}
	s := httptest.NewUnstartedServer(messenger.NewPeerServer(peer{}))
	if s.TLS, err = certifier.ServerConfig(k, certifier.Peer); err != nil {
		b.Fatal(err)
	}
	s.StartTLS()
	b.Cleanup(s.Close)
	t, err := certifier.ClientConfig(k)
	if err != nil {
		b.Fatal(err)
	}
	count = &atomic.Int64{}
	return func() messenger.Peer {
		h := &http.Transport{
			TLSClientConfig: t.Clone(),
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{c, count}, err
			},
		}
		b.Cleanup(h.CloseIdleConnections)
		return messenger.NewPeerProtobufClient(s.URL, &http.Client{Transport: h})
	}, count
}

// BenchmarkExchange reports the bytes of TLS and HTTP of one exchange, both ways, and its processor time at both ends.
func BenchmarkExchange(b *testing.B) {
	calls := []struct {
		name string
		call func(p messenger.Peer) error
	}{
		{"heartbeat", func(p messenger.Peer) error {
			_, err := p.Heartbeat(context.Background(), beat(3))
			return err
		}},
		{"grant", func(p messenger.Peer) error {
			_, err := p.Grant(context.Background(), &messenger.GrantRequest{Account: "account-123", Part: 1, Tokens: 40, Incarnation: 1 << 60, Ask: 1_000, Held: 3})
			return err
		}},
	}
	for _, c := range calls {
		b.Run(c.name, func(b *testing.B) {
			connect, count := mutual(b)
			p := connect()
			if err := c.call(p); err != nil {
				b.Fatal(err)
			}
			before, n := count.Load(), 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				if err := c.call(p); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(count.Load()-before)/float64(n), "B/exchange")
		})
	}
}

// BenchmarkConnect reports the bytes of a new connection with one exchange, and the memory of one that stays open,
// for both ends together.
func BenchmarkConnect(b *testing.B) {
	const kept = 100
	connect, count := mutual(b)
	var x, y runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&x)
	var ps []messenger.Peer
	for range kept {
		p := connect()
		if _, err := p.Heartbeat(context.Background(), beat(3)); err != nil {
			b.Fatal(err)
		}
		ps = append(ps, p)
	}
	runtime.GC()
	runtime.ReadMemStats(&y)
	sent := float64(count.Load()) / kept
	for b.Loop() {
		if _, err := connect().Heartbeat(context.Background(), beat(3)); err != nil {
			b.Fatal(err)
		}
	}
	runtime.KeepAlive(ps)
	b.ReportMetric((float64(y.HeapAlloc+y.StackInuse)-float64(x.HeapAlloc+x.StackInuse))/kept, "B/connection")
	b.ReportMetric(sent, "B/first")
}
