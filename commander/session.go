package commander

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/twitchtv/twirp"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/messenger"
)

// Config configures a run; Out and Err are required.
type Config struct {
	Out, Err io.Writer
	// Pause is the time between two attempts of a change; 1 s by default.
	Pause time.Duration
	// DialTimeout bounds the opening of a connection, and its handshake; 2 s by default.
	DialTimeout time.Duration
	// CallTimeout bounds a call of an instance; 20 s by default.
	CallTimeout time.Duration
}

// Run carries out one command and returns the exit code.
func Run(ctx context.Context, c Config, args []string) int {
	c.Pause = cmp.Or(c.Pause, time.Second)
	c.DialTimeout = cmp.Or(c.DialTimeout, defaultDialTimeout)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	s := &session{Config: c, options: options{wait: defaultWait}}
	chosen, err := parse(args, &s.options)
	if err == nil && chosen != nil {
		err = chosen.run(s, ctx)
	}
	if err != nil {
		s.note("celeryhead: %s", describe(err))
	}
	return code(err)
}

// describe leaves the metadata of twirp out.
func describe(err error) string {
	var e twirp.Error
	if errors.As(err, &e) && code(err) == ExitRefused {
		return e.Msg()
	}
	return fmt.Sprintf("%v", err)
}

// session is one run of a command.
type session struct {
	Config
	options
	client *client
}

// connect prepares the client; connections are opened by calls.
func (s *session) connect() error {
	c, err := connect(s.Config, &s.options)
	s.client = c
	return err
}

// print writes a line of results.
func (s *session) print(format string, args ...any) {
	// A reader that went away is no reason to stop a change halfway.
	_, _ = fmt.Fprintf(s.Out, format+"\n", args...)
}

// note writes a line about progress, a warning or an error.
func (s *session) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Err, format+"\n", args...)
}

func (s *session) printJSON(v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// version is one configuration as the instances hold it.
type version struct {
	number uint64
	text   []byte
	config composer.Config
}

// fetch returns a version, or the newest if number is 0; before the first change that one is empty.
func (s *session) fetch(ctx context.Context, number uint64) (version, error) {
	m, err := read(ctx, s.client, func(ctx context.Context, o messenger.Operator) (*messenger.ConfigurationText, error) {
		return o.Configuration(ctx, &messenger.ConfigurationRequest{Version: number})
	})
	var e twirp.Error
	if errors.As(err, &e) && e.Code() == twirp.NotFound && number == 0 {
		return version{}, nil
	}
	if err != nil {
		return version{}, err
	}
	c, err := composer.Parse(m.Text)
	return version{number: m.Version, text: m.Text, config: c}, err
}

// newest connects and returns the newest version.
func (s *session) newest(ctx context.Context) (version, error) {
	if err := s.connect(); err != nil {
		return version{}, err
	}
	return s.fetch(ctx, 0)
}

// newID returns an operation id that no other operator uses.
func newID() string {
	return rand.Text()
}
