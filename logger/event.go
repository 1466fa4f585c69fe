package logger

import (
	"io"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Event is an entry of the catalogue.
type Event struct {
	Number  int
	Level   log.Level
	Message string
}

var events = map[int]Event{}

// register adds an event to the catalogue; a number that is taken is a programming error.
func register(n int, l log.Level, m string) Event {
	if _, ok := events[n]; ok {
		panic("logger: event number used twice: " + m)
	}
	e := Event{Number: n, Level: l, Message: m}
	events[n] = e
	return e
}

// Events returns the catalogue in the order of its numbers.
func Events() []Event {
	r := make([]Event, 0, len(events))
	for _, e := range events {
		r = append(r, e)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Number < r[j].Number })
	return r
}

// Config configures a logger.
type Config struct {
	Writer io.Writer
	// Level is debug, info, warn or error.
	Level string
	// Format is json or logfmt.
	Format   string
	Instance string
}

// Logger emits the events of the catalogue.
type Logger struct {
	log log.Interface
}

// New returns a logger, or an error if the level is unknown.
func New(c Config) (*Logger, error) {
	l, err := log.ParseLevel(c.Level)
	if err != nil {
		return nil, merry.Prependf(err, "log level %q", c.Level)
	}
	var h log.Handler = json.New(c.Writer)
	if c.Format == "logfmt" {
		h = logfmt.New(c.Writer)
	}
	b := &log.Logger{Handler: h, Level: l}
	return &Logger{log: b.WithField("instance", c.Instance)}, nil
}

// Discard returns a logger that drops every event.
func Discard() *Logger {
	return &Logger{log: &log.Logger{Handler: json.New(io.Discard), Level: log.FatalLevel}}
}

func (l *Logger) emit(e Event, f log.Fields) {
	if f == nil {
		f = log.Fields{}
	}
	f["event"] = e.Number
	w := l.log.WithFields(f)
	switch e.Level {
	case log.DebugLevel:
		w.Debug(e.Message)
	case log.WarnLevel:
		w.Warn(e.Message)
	case log.ErrorLevel:
		w.Error(e.Message)
	default:
		w.Info(e.Message)
	}
}

func seconds(d time.Duration) float64 {
	return float64(d.Milliseconds()) / 1000
}
