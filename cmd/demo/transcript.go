package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/launcher"
)

// transcript plays a few requests against a deployment and checks the answers.
type transcript struct {
	deployment *launcher.Deployment
}

type lookup struct {
	Region            string  `json:"region"`
	TimeToLiveSeconds float64 `json:"time_to_live_seconds"`
	Instances         []struct {
		Name    string         `json:"name"`
		Region  string         `json:"region"`
		Address netip.AddrPort `json:"address"`
	} `json:"instances"`
}

// account makes the requests of the transcript.
const account = "almaty-markets"

func (t *transcript) play(ctx context.Context) error {
	r, err := t.deployment.Apply(ctx, t.deployment.Instances[0], 0)
	if err != nil {
		return merry.Prepend(err, "apply")
	}
	if r.Conflict != nil {
		return merry.Errorf("apply: conflict with version %d", r.Conflict.Version)
	}
	fmt.Printf("\nconfiguration %d applied, in force on every instance: %v\n", r.Version, r.InForce)
	if err := t.deployment.Ready(ctx, r.Version, "pitch_map", "booking_desk"); err != nil {
		return merry.Prepend(err, "ready")
	}
	for _, f := range []func(context.Context) error{t.lookUp, t.read, t.refusals, t.book} {
		if err := f(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (t *transcript) first() *launcher.Instance {
	return t.deployment.Instances[0]
}

func (t *transcript) lookUp(ctx context.Context) error {
	a, err := t.do(ctx, http.MethodGet, "/v1/lookup?address=10.1.0.1", nil, "")
	if err != nil {
		return err
	}
	var l lookup
	if err := json.Unmarshal([]byte(a.body), &l); err != nil {
		return err
	}
	if len(l.Instances) == 0 || l.TimeToLiveSeconds <= 0 || l.Instances[0].Region != l.Region {
		return merry.Errorf("look-up: unusable answer %s", a.body)
	}
	return nil
}

func (t *transcript) read(ctx context.Context) error {
	a, err := t.do(ctx, http.MethodGet, "/permits/7", t.key(), "")
	if err != nil {
		return err
	}
	return expect(a, http.StatusOK, "", "")
}

func (t *transcript) refusals(ctx context.Context) error {
	a, err := t.do(ctx, http.MethodGet, "/permits/7", nil, "")
	if err != nil {
		return err
	}
	if err := expect(a, http.StatusUnauthorized, "key_missing", "not-run"); err != nil {
		return err
	}
	a, err = t.do(ctx, http.MethodPost, "/bookings", t.key(), "pitch 7")
	if err != nil {
		return err
	}
	return expect(a, http.StatusBadRequest, "idempotency_key_missing", "not-run")
}

func (t *transcript) book(ctx context.Context) error {
	h := t.key()
	h.Set("Idempotency-Key", "demo-booking-1")
	a, err := t.do(ctx, http.MethodPost, "/bookings", h, "pitch 7, 06:30")
	if err != nil {
		return err
	}
	if err := expect(a, http.StatusOK, "", ""); err != nil {
		return err
	}
	b, err := t.do(ctx, http.MethodPost, "/bookings", h, "pitch 7, 06:30")
	if err != nil {
		return err
	}
	if err := expect(b, http.StatusOK, "", ""); err != nil {
		return err
	}
	if a.body != b.body {
		return merry.Errorf("the second sending got another answer: %q and %q", a.body, b.body)
	}
	return t.countRuns(ctx)
}

// countRuns compares the ledgers of the targets with the two sendings.
func (t *transcript) countRuns(ctx context.Context) error {
	n := 0
	for name := range t.deployment.Targets {
		r, err := t.deployment.Report(ctx, name)
		if err != nil {
			return err
		}
		for _, i := range r.Runs {
			if i.IdempotencyKey == "demo-booking-1" {
				n++
			}
		}
		if r.KeysSeen > 0 {
			return merry.Errorf("target %s saw a caller's key", name)
		}
	}
	fmt.Printf("\nruns of the booking in the targets' ledgers: %d\n", n)
	if n != 1 {
		return merry.Errorf("the booking ran %d times", n)
	}
	return nil
}

func (t *transcript) key() http.Header {
	return http.Header{"Authorization": {"Bearer " + t.deployment.Secrets[account]}}
}

type reply struct {
	status int
	header http.Header
	body   string
}

// do sends a request to the first instance and prints both sides, without the key.
func (t *transcript) do(ctx context.Context, method, path string, h http.Header, body string) (*reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+t.first().Callers.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for n, v := range h {
		r.Header[n] = v
	}
	fmt.Printf("\n> %s %s\n", method, r.URL)
	if k := r.Header.Get("Idempotency-Key"); k != "" {
		fmt.Println("> Idempotency-Key:", k)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return nil, err
	}
	fmt.Printf("< %s\n", p.Status)
	for _, n := range []string{"Celeryhead-Reason", "Celeryhead-Ran", "Idempotency-Replayed"} {
		if v := p.Header.Get(n); v != "" {
			fmt.Printf("< %s: %s\n", n, v)
		}
	}
	fmt.Printf("< %s\n", strings.TrimSpace(string(b)))
	return &reply{status: p.StatusCode, header: p.Header, body: string(b)}, nil
}

func expect(a *reply, status int, reason, ran string) error {
	if a.status != status || a.header.Get("Celeryhead-Reason") != reason || a.header.Get("Celeryhead-Ran") != ran {
		return merry.Errorf("status %d, reason %q, ran %q; want %d, %q, %q",
			a.status, a.header.Get("Celeryhead-Reason"), a.header.Get("Celeryhead-Ran"), status, reason, ran)
	}
	return nil
}

func (t *transcript) hints() {
	d := t.deployment
	fmt.Printf("\nThe deployment runs until it is interrupted. To operate it:\n")
	fmt.Printf("  bin/celeryhead --server %s --ca %s --cert %s --key %s status\n", t.first().Operators, d.Operator.Authority, d.Operator.Certificate, d.Operator.Key)
	fmt.Printf("Metrics of %s: http://%s/metrics\n", t.first().Name, t.first().Metrics)
}
