package commander

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/certifier"
)

const (
	// authorityLife and certificateLife are used unless --days says otherwise.
	authorityLife   = 10 * 365 * 24 * time.Hour
	certificateLife = 365 * 24 * time.Hour
	day             = 24 * time.Hour
	// Files of keys can be read by their owner only.
	keyMode         = 0o600
	certificateMode = 0o644
)

// makeAuthority creates the authority of a deployment in the output directory.
func (s *session) makeAuthority(context.Context) error {
	a, err := certifier.NewAuthority(s.holder, time.Now(), s.validity(authorityLife))
	if err != nil {
		return err
	}
	return s.writePair(authorityName, a.Pair())
}

// authorityName is the name of the authority's files.
const authorityName = "authority"

func (s *session) certifyPeer(context.Context) error {
	if len(s.addresses) == 0 {
		return merry.Append(errUsage, "a peer needs --address, its IP address for peers and operators")
	}
	return s.certify(certifier.Peer)
}

func (s *session) certifyOperator(context.Context) error {
	return s.certify(certifier.Operator)
}

// certify issues a certificate to the holder, by the authority whose files are in the directory.
func (s *session) certify(r certifier.Role) error {
	var as []netip.Addr
	for _, a := range s.addresses {
		i, err := netip.ParseAddr(a)
		if err != nil {
			return merry.Appendf(errUsage, "%q is not an IP address", a)
		}
		as = append(as, i)
	}
	var p certifier.Pair
	for n, to := range map[string]*[]byte{authorityName + ".pem": &p.Certificate, authorityName + ".key": &p.Key} {
		b, err := os.ReadFile(filepath.Join(s.directory, n)) //nolint:gosec // The operator names the directory.
		if err != nil {
			return merry.Wrap(errUsage, merry.WithCause(err))
		}
		*to = b
	}
	a, err := certifier.LoadAuthority(p)
	if err != nil {
		return merry.Wrap(errUsage, merry.WithCause(err))
	}
	issued, err := a.Issue(r, s.holder, time.Now(), s.validity(certificateLife), as...)
	if err != nil {
		return err
	}
	return s.writePair(s.holder, issued)
}

// validity returns the time in --days.
func (s *session) validity(otherwise time.Duration) time.Duration {
	if s.days == 0 {
		return otherwise
	}
	return time.Duration(s.days) * day
}

// writePair writes <name>.pem and <name>.key and refuses to replace either.
func (s *session) writePair(name string, p certifier.Pair) error {
	for _, f := range []struct {
		suffix string
		bytes  []byte
		mode   os.FileMode
	}{{".key", p.Key, keyMode}, {".pem", p.Certificate, certificateMode}} {
		path := filepath.Join(s.directory, name+f.suffix)
		if err := create(path, f.bytes, f.mode); err != nil {
			return merry.Wrap(errUsage, merry.WithCause(err))
		}
		s.note("wrote %s", path)
	}
	return nil
}

// create writes a file that must not exist.
func create(path string, b []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, mode) //nolint:gosec // The operator names the directory.
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
