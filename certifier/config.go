package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Config names what a party of a mutual TLS connection holds.
type Config struct {
	// Authority is the PEM certificate of the deployment's authority.
	Authority []byte
	Pair      Pair
}

// ServerConfig returns the settings of a listener that accepts only clients with the given role.
func ServerConfig(c Config, r Role) (*tls.Config, error) {
	t, p, err := load(c, r)
	if err != nil {
		return nil, err
	}
	t.ClientAuth, t.ClientCAs = tls.RequireAndVerifyClientCert, p
	return t, nil
}

// ClientConfig returns the settings of a client that connects only to instances, which hold peer certificates.
func ClientConfig(c Config) (*tls.Config, error) {
	t, p, err := load(c, Peer)
	if err != nil {
		return nil, err
	}
	t.RootCAs = p
	return t, nil
}

// Identity returns the role and name in the certificate that the other side of a verified connection showed.
func Identity(s *tls.ConnectionState) (Role, string, error) {
	if s == nil || len(s.PeerCertificates) == 0 {
		return "", "", merry.New("connection has no certificate")
	}
	u := s.PeerCertificates[0].URIs
	if len(u) != 1 || u[0].Scheme != scheme {
		return "", "", merry.New("certificate does not name a role")
	}
	return Role(u[0].Host), strings.TrimPrefix(u[0].Path, "/"), nil
}

func requireRole(want Role) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		r, _, err := Identity(&s)
		if err != nil {
			return err
		}
		if r != want {
			return merry.Errorf("certificate has role %q, want %q", r, want)
		}
		return nil
	}
}

// load returns what both sides have in common, and the pool by which a side verifies the other one, whose role is r.
func load(c Config, r Role) (*tls.Config, *x509.CertPool, error) {
	p := x509.NewCertPool()
	if !p.AppendCertsFromPEM(c.Authority) {
		return nil, nil, merry.New("authority holds no certificate")
	}
	k, err := tls.X509KeyPair(c.Pair.Certificate, c.Pair.Key)
	if err != nil {
		return nil, nil, merry.Prepend(err, "certificate and key")
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k}, VerifyConnection: requireRole(r)}, p, nil
}
