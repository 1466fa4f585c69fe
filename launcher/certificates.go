package launcher

import (
	"context"
	"net/netip"
	"os"
	"time"

	"celeryhead.dev/celeryhead/certifier"
)

const (
	certificateLife = 24 * time.Hour
	operatorName    = "demo"
	authorityFile   = "authority.pem"
)

func (d *Deployment) certify(context.Context) error {
	a, err := NewAuthority()
	if err != nil {
		return err
	}
	if err := d.Trust(a); err != nil {
		return err
	}
	return d.Certify(a)
}

// NewAuthority returns an authority that is valid for a day.
func NewAuthority() (*certifier.Authority, error) {
	return certifier.NewAuthority("demo", time.Now(), certificateLife)
}

// Trust replaces the authorities that the daemons and the operator trust.
func (d *Deployment) Trust(as ...*certifier.Authority) error {
	var b []byte
	for _, a := range as {
		b = append(b, a.Pair().Certificate...)
	}
	return replace(d.path(authorityFile), b)
}

// Certify issues new certificates to all daemons and the operator.
func (d *Deployment) Certify(a *certifier.Authority) error {
	for _, i := range d.Instances {
		if _, err := d.issue(a, certifier.Peer, i.Name, i.Peers.Addr()); err != nil {
			return err
		}
	}
	d.Authority = a
	var err error
	d.Operator, err = d.issue(a, certifier.Operator, operatorName)
	return err
}

func (d *Deployment) issue(a *certifier.Authority, r certifier.Role, name string, addrs ...netip.Addr) (Files, error) {
	f := Files{Authority: d.path(authorityFile), Certificate: d.path(name + ".pem"), Key: d.path(name + ".key")}
	p, err := a.Issue(r, name, time.Now(), certificateLife, addrs...)
	if err != nil {
		return f, err
	}
	if err := replace(f.Certificate, p.Certificate); err != nil {
		return f, err
	}
	return f, replace(f.Key, p.Key)
}

// replace writes a file that a daemon may be reading.
func replace(path string, b []byte) error {
	t := path + ".new"
	if err := os.WriteFile(t, b, 0o600); err != nil {
		return err
	}
	return os.Rename(t, path)
}
