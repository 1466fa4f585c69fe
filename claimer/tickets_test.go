package claimer_test

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/claimer"
	"celeryhead.dev/celeryhead/composer"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const ticketLife = 2 * time.Minute

// ticketModel is the expected state of one ticket.
type ticketModel struct {
	key      string
	account  string
	home     int
	expires  time.Time
	runs     int
	answer   string
	deadline time.Time
	open     *claimer.TicketRun
}

// ticketMachine compares two incarnations of one instance and one incarnation of another with the model.
type ticketMachine struct {
	now       time.Time
	issuers   []*claimer.Tickets
	locations []claimer.Location
	tickets   []*ticketModel
	seen      map[claimer.Verdict]int
}

// Guards against a ticket that runs twice, after its expiry, at another incarnation or for another account, against a
// stored response of another run, and against memory that exceeds its limits or records that are removed too early.
func TestTicketsMatchModel(t *testing.T) {
	seen := map[claimer.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t, seen)
		t.Repeat(map[string]func(*rapid.T){
			"issue":   m.issue,
			"send":    m.send,
			"finish":  m.finish,
			"abandon": m.abandon,
			"forge":   m.forge,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
			},
			"tick": func(*rapid.T) {
				for _, s := range m.issuers {
					s.Tick(m.now)
				}
			},
			"": m.check,
		})
	})
	// Other verdicts are rare here and have their own tests below.
	for _, v := range []claimer.Verdict{claimer.Run, claimer.Stored, claimer.InProgress, claimer.OutcomeUnknown} {
		if seen[v] == 0 {
			t.Errorf("no schedule led to the verdict %s", v)
		}
	}
}

func newMachine(t *rapid.T, seen map[claimer.Verdict]int) *ticketMachine {
	m := &ticketMachine{now: start, seen: seen}
	m.locations = []claimer.Location{{Instance: "a", Incarnation: 1}, {Instance: "a", Incarnation: 2}, {Instance: "b", Incarnation: 1}}
	for i, l := range m.locations {
		random := rand.NewChaCha8([32]byte{byte(i)})
		s, err := claimer.NewTickets(claimer.TicketConfig{Location: l, MaxTickets: 3, MaxAccountTickets: 2, MaxBodyBytes: 100, Random: random})
		if err != nil {
			t.Fatal(err)
		}
		m.issuers = append(m.issuers, s)
	}
	return m
}

func (m *ticketMachine) issue(t *rapid.T) {
	i := &ticketModel{
		account: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"),
		home:    rapid.IntRange(0, len(m.issuers)-1).Draw(t, "home"),
		expires: m.now.Add(ticketLife),
	}
	key, err := m.issuers[i.home].Issue(i.account, m.now)
	if err != nil {
		t.Fatal(err)
	}
	l, err := claimer.Locate(key)
	if err != nil || l != m.locations[i.home] {
		t.Fatalf("located at %v, error %v; want %v", l, err, m.locations[i.home])
	}
	i.key = key
	m.tickets = append(m.tickets, i)
}

func (m *ticketMachine) pick(t *rapid.T) *ticketModel {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

func (m *ticketMachine) send(t *rapid.T) {
	i := m.pick(t)
	at := rapid.SampledFrom([]int{i.home, i.home, i.home, (i.home + 1) % 3}).Draw(t, "at")
	r := claimer.Request{Account: i.account, Route: "r", Key: i.key, Deadline: m.now.Add(30 * time.Second)}
	other := rapid.IntRange(0, 9).Draw(t, "other")
	switch other {
	case 0:
		r.Account = "z"
	case 1:
		r.RequestDigest[0] = 1
	case 2:
		r.Route = "s"
	}
	d := m.issuers[at].Begin(r, m.now)
	m.seen[d.Verdict]++
	if d.Verdict == claimer.Run && (at != i.home || other == 0 || !m.now.Before(i.expires)) {
		t.Fatalf("ticket may run at %d for %s at %v", at, r.Account, m.now)
	}
	if at != i.home && other != 0 && d.Verdict != claimer.OutcomeUnknown {
		t.Fatalf("verdict %s at another incarnation", d.Verdict)
	}
	if at != i.home || other == 0 {
		return
	}
	m.checkSend(t, i, r, d)
}

func (m *ticketMachine) checkSend(t *rapid.T, i *ticketModel, r claimer.Request, d claimer.Decision) {
	switch d.Verdict {
	case claimer.Run:
		if i.runs > 0 || i.open != nil {
			t.Fatal("ticket may run again")
		}
		i.open, i.deadline = d.Ticket, r.Deadline
	case claimer.Stored:
		if i.runs != 1 || string(d.Outcome.Body) != i.answer {
			t.Fatalf("stored %q, want %q", d.Outcome.Body, i.answer)
		}
	case claimer.Completed, claimer.Mismatch:
		if i.runs+boolToInt(i.open != nil) == 0 {
			t.Fatalf("verdict %s for an unused ticket", d.Verdict)
		}
	case claimer.InProgress:
		if i.open == nil {
			t.Fatal("an unused ticket is in progress")
		}
	case claimer.OutcomeUnknown:
		if m.now.Before(i.expires) && (i.open == nil || m.now.Before(i.deadline)) {
			t.Fatal("the outcome of a fresh ticket is unknown")
		}
	case claimer.Unavailable:
		if n, _ := m.issuers[i.home].Usage(); n < 2 || i.runs > 0 {
			t.Fatalf("unavailable with %d tickets", n)
		}
	default:
		t.Fatalf("verdict %s", d.Verdict)
	}
}

func (m *ticketMachine) finish(t *rapid.T) {
	i := m.pick(t)
	if i.open == nil {
		t.Skip("not running")
	}
	i.answer = fmt.Sprintf("%0*d", rapid.IntRange(1, 60).Draw(t, "bytes"), len(m.tickets))
	err := m.issuers[i.home].Finish(i.open, claimer.Outcome{Status: 201, Body: []byte(i.answer)})
	if err != nil && (m.now.Before(i.deadline) || m.now.Before(i.expires)) {
		t.Fatal(err)
	}
	i.open = nil
	i.runs++
}

func (m *ticketMachine) abandon(t *rapid.T) {
	i := m.pick(t)
	if i.open == nil {
		t.Skip("not running")
	}
	r := i.open
	i.open = nil
	if m.issuers[i.home].Abandon(r) == nil && !errors.Is(m.issuers[i.home].Finish(r, claimer.Outcome{}), claimer.ErrSettled) {
		t.Fatal("an abandoned run was finished")
	}
}

// forge flips one bit of a ticket.
func (m *ticketMachine) forge(t *rapid.T) {
	i := m.pick(t)
	b := []byte(i.key)
	at := rapid.IntRange(0, len(b)-1).Draw(t, "position")
	b[at] ^= byte(1 << rapid.IntRange(0, 7).Draw(t, "bit"))
	for _, s := range m.issuers {
		d := s.Begin(claimer.Request{Account: i.account, Route: "r", Key: string(b), Deadline: m.now.Add(time.Minute)}, m.now)
		m.seen[d.Verdict]++
		if d.Verdict != claimer.Invalid && d.Verdict != claimer.OutcomeUnknown {
			t.Fatalf("verdict %s for a forged ticket", d.Verdict)
		}
	}
}

func (m *ticketMachine) check(t *rapid.T) {
	for _, s := range m.issuers {
		if n, b := s.Usage(); n > 3 || b > 100 {
			t.Fatalf("%d tickets, %d bytes in memory", n, b)
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Guards against an account that uses the memory of other accounts, and against evicting records of used tickets when the memory is full.
func TestTicketLimits(t *testing.T) {
	s := newTickets(t, claimer.TicketConfig{MaxTickets: 4, MaxAccountTickets: 3})
	first := ticketRequest(t, s, "x")
	for i, c := range []struct {
		request claimer.Request
		want    claimer.Verdict
	}{
		{first, claimer.Run},
		{ticketRequest(t, s, "x"), claimer.Run},
		{ticketRequest(t, s, "x"), claimer.Run},
		{ticketRequest(t, s, "x"), claimer.Unavailable},
		{ticketRequest(t, s, "y"), claimer.Run},
		{ticketRequest(t, s, "y"), claimer.Unavailable},
		{first, claimer.InProgress},
	} {
		if d := s.Begin(c.request, start); d.Verdict != c.want {
			t.Fatalf("request %d: verdict %s, want %s", i, d.Verdict, c.want)
		}
	}
}

func newTickets(t *testing.T, c claimer.TicketConfig) *claimer.Tickets {
	c.Location.Instance = "a"
	s, err := claimer.NewTickets(c)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func ticketRequest(t *testing.T, s *claimer.Tickets, account string) claimer.Request {
	key, err := s.Issue(account, start)
	if err != nil {
		t.Fatal(err)
	}
	return claimer.Request{Account: account, Route: "r", Key: key, Deadline: start.Add(time.Minute)}
}

// Guards against tickets longer than the 255 bytes that the server accepts as an Idempotency-Key. An earlier format
// needed 258 bytes with 14-byte names.
func TestTicketLength(t *testing.T) {
	name := strings.Repeat("n", composer.MaxNameLength)
	s, err := claimer.NewTickets(claimer.TicketConfig{Location: claimer.Location{Instance: name, Incarnation: math.MaxUint64}})
	if err != nil {
		t.Fatal(err)
	}
	r := ticketRequest(t, s, name)
	if len(r.Key) > 255 {
		t.Fatalf("ticket of %d bytes", len(r.Key))
	}
	if d := s.Begin(r, start); d.Verdict != claimer.Run {
		t.Fatalf("verdict %s", d.Verdict)
	}
	for _, account := range []string{"", strings.Repeat("n", 200)} {
		if _, err := s.Issue(account, start); !errors.Is(err, claimer.ErrTicket) {
			t.Fatalf("error %v for an account of %d bytes", err, len(account))
		}
	}
}

// Guards against a run that settles the run of a later attempt, and against removing a record while its request may still run.
func TestTicketRuns(t *testing.T) {
	s := newTickets(t, claimer.TicketConfig{})
	r := ticketRequest(t, s, "x")
	r.Deadline = start.Add(2 * ticketLife)
	old := s.Begin(r, start).Ticket
	if err := s.Abandon(old); err != nil {
		t.Fatal(err)
	}
	late := start.Add(ticketLife - time.Second)
	d := s.Begin(r, late)
	if d.Verdict != claimer.Run {
		t.Fatalf("verdict %s after an abandoned run", d.Verdict)
	}
	if err := s.Finish(old, claimer.Outcome{Status: 500}); !errors.Is(err, claimer.ErrSettled) {
		t.Fatalf("an abandoned run was finished: %v", err)
	}
	s.Tick(start.Add(ticketLife + time.Second))
	if err := s.Finish(d.Ticket, claimer.Outcome{Status: 201}); err != nil {
		t.Fatal(err)
	}
	if err := s.Abandon(d.Ticket); !errors.Is(err, claimer.ErrSettled) {
		t.Fatalf("a finished run was abandoned: %v", err)
	}
	d = s.Begin(r, start.Add(ticketLife+time.Second))
	if d.Verdict != claimer.Stored || d.Outcome.Status != 201 {
		t.Fatalf("verdict %s after the run", d.Verdict)
	}
}

// Guards against deciding a ticket at an incarnation that has no record of it.
func TestPlace(t *testing.T) {
	self := claimer.Location{Instance: "a", Incarnation: 2}
	for _, c := range []struct {
		of        claimer.Location
		reachable bool
		want      claimer.Place
	}{
		{of: self, want: claimer.Here},
		{of: self, reachable: true, want: claimer.Here},
		{of: claimer.Location{Instance: "a", Incarnation: 1}, reachable: true, want: claimer.Gone},
		{of: claimer.Location{Instance: "b", Incarnation: 1}, reachable: true, want: claimer.Elsewhere},
		{of: claimer.Location{Instance: "b", Incarnation: 1}, want: claimer.Gone},
	} {
		if p := c.of.Place(self, c.reachable); p != c.want {
			t.Errorf("place of %v: %d, want %d", c.of, p, c.want)
		}
	}
}

// Guards against panics in the parser and against arbitrary texts that are accepted as tickets.
func FuzzTicket(f *testing.F) {
	s, err := claimer.NewTickets(claimer.TicketConfig{Location: claimer.Location{Instance: "a"}, Random: bytes.NewReader(make([]byte, 1<<10))})
	if err != nil {
		f.Fatal(err)
	}
	key, err := s.Issue("x", start)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(key)
	f.Add("ct1.AXgBYQ.AXgBYQ")
	f.Add("ct1.QHg.AA")
	f.Add("ct1.")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := claimer.Locate(text)
		if err == nil && !claimer.IsTicket(text) {
			t.Fatal("located a key that is no ticket")
		}
		d := s.Begin(claimer.Request{Account: "x", Route: "r", Key: text, Deadline: start.Add(time.Minute)}, start)
		if text != key && d.Verdict != claimer.Invalid && d.Verdict != claimer.OutcomeUnknown {
			t.Fatalf("verdict %s", d.Verdict)
		}
		if err != nil && d.Verdict != claimer.Invalid {
			t.Fatalf("verdict %s for a text that cannot be located", d.Verdict)
		}
	})
}

// Guards against panics in the decoder, and against outcomes that cannot be sent as a response.
func FuzzOutcomeRow(f *testing.F) {
	f.Add(claimer.EncodeOutcome(claimer.Request{Account: "x"}, claimer.Outcome{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("c")}))
	f.Add(claimer.EncodeOutcome(claimer.Request{Account: "x"}, claimer.Outcome{Status: 0}))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		o, partial, known, err := claimer.DecodeOutcome(b)
		if err != nil && known {
			t.Fatal("outcome with an error")
		}
		if !known {
			return
		}
		if o.Status < 200 || o.Status > 999 || len(o.Body) > claimer.MaxBodyBytes {
			t.Fatalf("outcome with status %d and %d bytes", o.Status, len(o.Body))
		}
		p, again, _, err := claimer.DecodeOutcome(claimer.EncodeOutcome(claimer.Request{Account: "x"}, o))
		if err != nil || p.Status != o.Status || !bytes.Equal(p.Body, o.Body) && !again && !partial {
			t.Fatalf("decoded %v, then %v, error %v", o, p, err)
		}
	})
}

func BenchmarkTicket(b *testing.B) {
	s, err := claimer.NewTickets(claimer.TicketConfig{Location: claimer.Location{Instance: "a"}, MaxTickets: 1 << 30})
	if err != nil {
		b.Fatal(err)
	}
	r := claimer.Request{Account: "x", Route: "r", Deadline: start.Add(time.Minute)}
	for b.Loop() {
		r.Key, err = s.Issue("x", start)
		if err != nil {
			b.Fatal(err)
		}
		d := s.Begin(r, start)
		if err := s.Finish(d.Ticket, claimer.Outcome{Status: 200}); err != nil {
			b.Fatal(err)
		}
	}
}
