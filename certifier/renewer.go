package certifier

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// Files names the PEM files of one daemon; the last two are empty for a callers' listener without TLS.
type Files struct {
	Authority, Certificate, Key    string
	CallersCertificate, CallersKey string
}

// RenewerConfig configures a Renewer; all fields but CallersCertificate and CallersKey are required.
type RenewerConfig struct {
	Files Files
	// Name is the instance that the peer certificate must name.
	Name string
	// Address is the address that the peer certificate must hold.
	Address netip.Addr
}

// Renewer holds the certificates of one daemon and takes over new ones from their files; it is safe for concurrent use.
type Renewer struct {
	config  RenewerConfig
	current atomic.Pointer[holdings]
}

// holdings is what one reading of the files gave.
type holdings struct {
	content                  content
	peers, operators, client *tls.Config
	callers                  *tls.Certificate
	roots                    []*x509.Certificate
	expiries                 Expiries
}

// content is the bytes of the files in the order of the fields of Files.
type content [5][]byte

func (c content) equal(o content) bool {
	return slices.EqualFunc(c[:], o[:], bytes.Equal)
}

// Expiries says when certificates end; Callers is zero for a callers' listener without TLS.
type Expiries struct {
	Authority, Peer, Callers time.Time
}

// First returns the earliest one that is set.
func (e Expiries) First() time.Time {
	r := e.Peer
	for _, t := range []time.Time{e.Authority, e.Callers} {
		if !t.IsZero() && t.Before(r) {
			r = t
		}
	}
	return r
}

// NewRenewer reads the files and checks that the certificates fit each other, the instance and its address.
func NewRenewer(c RenewerConfig) (*Renewer, error) {
	r := &Renewer{config: c}
	if _, err := r.Renew(); err != nil {
		return nil, err
	}
	return r, nil
}

// Renew reads the files again and reports whether other certificates are in use from now on; an error leaves the former ones in use.
func (r *Renewer) Renew() (bool, error) {
	b, err := r.read()
	if err != nil {
		return false, err
	}
	if o := r.current.Load(); o != nil && o.content.equal(b) {
		return false, nil
	}
	h, err := r.parse(b)
	if err != nil {
		return false, err
	}
	r.current.Store(h)
	return true, nil
}

func (r *Renewer) read() (content, error) {
	var c content
	f := r.config.Files
	for i, n := range []string{f.Authority, f.Certificate, f.Key, f.CallersCertificate, f.CallersKey} {
		if n == "" {
			continue
		}
		b, err := os.ReadFile(n) //nolint:gosec // The settings name the files.
		if err != nil {
			return c, err
		}
		c[i] = b
	}
	return c, nil
}

func (r *Renewer) parse(b content) (*holdings, error) {
	h := &holdings{content: b}
	c := Config{Authority: b[0], Pair: Pair{Certificate: b[1], Key: b[2]}}
	var err error
	if h.peers, err = ServerConfig(c, Peer); err != nil {
		return nil, err
	}
	if h.operators, err = ServerConfig(c, Operator); err != nil {
		return nil, err
	}
	if h.client, err = ClientConfig(c); err != nil {
		return nil, err
	}
	if h.roots, err = certificates(b[0]); err != nil {
		return nil, merry.Prepend(err, "authority")
	}
	leaf, err := r.checkPeer(h)
	if err != nil {
		return nil, merry.Prepend(err, r.config.Files.Certificate)
	}
	h.expiries = Expiries{Authority: h.roots[0].NotAfter, Peer: leaf.NotAfter}
	if b[3] == nil {
		return h, nil
	}
	return h, h.addCallers(b[3], b[4])
}

// checkPeer refuses a certificate that no other instance would accept, because it would cut the instance off.
func (r *Renewer) checkPeer(h *holdings) (*x509.Certificate, error) {
	leaf, err := x509.ParseCertificate(h.client.Certificates[0].Certificate[0])
	if err != nil {
		return nil, err
	}
	role, name, err := Identity(&tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}})
	switch {
	case err != nil:
		return nil, err
	case role != Peer || name != r.config.Name:
		return nil, merry.Errorf("certificate is for %s %q, want peer %q", role, name, r.config.Name)
	case !slices.ContainsFunc(leaf.IPAddresses, func(i net.IP) bool { return i.Equal(r.config.Address.AsSlice()) }):
		return nil, merry.Errorf("certificate does not hold the address %s of the peers' listener", r.config.Address)
	}
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: h.client.RootCAs}); err != nil {
		return nil, merry.Prepend(err, "against the authority")
	}
	return leaf, nil
}

func (h *holdings) addCallers(certificate, key []byte) error {
	p, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return merry.Prepend(err, "callers' certificate and key")
	}
	leaf, err := x509.ParseCertificate(p.Certificate[0])
	if err != nil {
		return merry.Prepend(err, "callers' certificate")
	}
	h.callers, h.expiries.Callers = &p, leaf.NotAfter
	return nil
}

// certificates reads every certificate of a PEM text.
func certificates(text []byte) ([]*x509.Certificate, error) {
	var r []*x509.Certificate
	for {
		b, rest := pem.Decode(text)
		if b == nil {
			break
		}
		text = rest
		if b.Type != certificateBlock {
			continue
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, err
		}
		r = append(r, c)
	}
	if len(r) == 0 {
		return nil, merry.New("no certificate")
	}
	return r, nil
}

// Expiries returns when the certificates in use end.
func (r *Renewer) Expiries() Expiries {
	return r.current.Load().expiries
}

// Server returns the settings of a listener for peers or operators; each handshake uses the certificates in use then.
func (r *Renewer) Server(role Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			h := r.current.Load()
			if role == Operator {
				return h.operators, nil
			}
			return h.peers, nil
		},
	}
}

// Callers returns the settings of the callers' listener, or nil without a certificate for it.
func (r *Renewer) Callers() *tls.Config {
	if r.config.Files.CallersCertificate == "" {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.current.Load().callers, nil },
	}
}

// Client returns the settings of a connection to an instance that is opened now; they are shared and must not be changed.
func (r *Renewer) Client() *tls.Config {
	return r.current.Load().client
}

// Trusts reports whether the certificate with which a connection was opened would be accepted at now: its authority may
// have been replaced, or it may have expired, while the connection was open.
func (r *Renewer) Trusts(s *tls.ConnectionState, now time.Time) bool {
	if s == nil || len(s.PeerCertificates) == 0 || now.After(s.PeerCertificates[0].NotAfter) {
		return false
	}
	roots := r.current.Load().roots
	for _, c := range s.VerifiedChains {
		if slices.ContainsFunc(roots, c[len(c)-1].Equal) {
			return true
		}
	}
	return false
}
