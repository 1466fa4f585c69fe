package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"
)

// Role is what the holder of a certificate may connect as.
type Role string

// The roles.
const (
	Peer     Role = "peer"
	Operator Role = "operator"
)

const (
	scheme = "celeryhead"
	// certificateBlock is the type of a certificate in PEM.
	certificateBlock = "CERTIFICATE"
)

// backdate allows for clocks of other machines that are behind.
const backdate = 5 * time.Minute

// Pair is a certificate with its private key, both PEM encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs certificates for one deployment.
type Authority struct {
	pair Pair
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed authority that is valid for d.
func NewAuthority(name string, now time.Time, d time.Duration) (*Authority, error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Prepend(err, "creating the authority's key")
	}
	n, err := serial()
	if err != nil {
		return nil, err
	}
	c := &x509.Certificate{
		SerialNumber:          n,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(d),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	p, err := sign(c, c, k, k)
	if err != nil {
		return nil, err
	}
	return &Authority{pair: p, cert: c, key: k}, nil
}

// LoadAuthority reads an authority that Pair returned.
func LoadAuthority(p Pair) (*Authority, error) {
	b, _ := pem.Decode(p.Certificate)
	if b == nil {
		return nil, merry.New("authority certificate is not PEM")
	}
	c, err := x509.ParseCertificate(b.Bytes)
	if err != nil {
		return nil, merry.Prepend(err, "authority certificate")
	}
	if b, _ = pem.Decode(p.Key); b == nil {
		return nil, merry.New("authority key is not PEM")
	}
	k, err := x509.ParseECPrivateKey(b.Bytes)
	if err != nil {
		return nil, merry.Prepend(err, "authority key")
	}
	return &Authority{pair: p, cert: c, key: k}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair {
	return a.pair
}

// Issue signs a certificate for a holder that serves on the given addresses, valid for d.
func (a *Authority) Issue(r Role, name string, now time.Time, d time.Duration, addrs ...netip.Addr) (Pair, error) {
	if name == "" || (r != Peer && r != Operator) {
		return Pair{}, merry.Errorf("certificate needs a name and a known role, got %q and %q", name, r)
	}
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, merry.Prepend(err, "creating a key")
	}
	n, err := serial()
	if err != nil {
		return Pair{}, err
	}
	c := &x509.Certificate{
		SerialNumber: n,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(d),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:         []*url.URL{{Scheme: scheme, Host: string(r), Path: "/" + name}},
	}
	for _, i := range addrs {
		c.IPAddresses = append(c.IPAddresses, net.IP(i.AsSlice()))
	}
	return sign(c, a.cert, k, a.key)
}

func serial() (*big.Int, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return n, merry.Prepend(err, "drawing a serial number")
}

func sign(c, parent *x509.Certificate, k, parentKey *ecdsa.PrivateKey) (Pair, error) {
	b, err := x509.CreateCertificate(rand.Reader, c, parent, &k.PublicKey, parentKey)
	if err != nil {
		return Pair{}, merry.Prepend(err, "signing a certificate")
	}
	s, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return Pair{}, merry.Prepend(err, "encoding a key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: certificateBlock, Bytes: b}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: s}),
	}, nil
}
