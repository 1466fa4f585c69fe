package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"celeryhead.dev/celeryhead/commander"
	"celeryhead.dev/celeryhead/informer"
)

// Guards against an operator who cannot see what an instance believes, or is told nothing about a wrong address.
func TestInstanceShowsItsStatus(t *testing.T) {
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != informer.Path {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(informer.Status{
			Instance: "entry-1", ConfigVersion: 12,
			Targets:  []informer.Target{{Name: "oven", Service: "bread", Slots: 3, PausedSeconds: 1.5}},
			Accounts: []informer.Account{{Name: "bakery", Rate: 20, Burst: 40, Parts: 2, Tokens: 7}},
		})
	}))
	defer h.Close()
	a := strings.TrimPrefix(h.URL, "http://")
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"instance", a}, 0, []string{"entry-1", "configuration 12", "oven", "1.50", "bakery", "7.00"}},
		{[]string{"--json", "instance", a}, 0, []string{`"config_version": 12`, `"paused_seconds": 1.5`}},
		{[]string{"instance", "here"}, commander.ExitRefused, []string{`address "here"`}},
		{[]string{"instance", "127.0.0.1:1"}, commander.ExitUnreachable, []string{"no status"}},
	} {
		var out, errs bytes.Buffer
		n := commander.Run(context.Background(), commander.Config{Out: &out, Err: &errs}, c.args)
		all := out.String() + errs.String()
		if n != c.code {
			t.Errorf("%v: code %d, want %d: %s", c.args, n, c.code, all)
		}
		for _, s := range c.want {
			if !strings.Contains(all, s) {
				t.Errorf("%v: %q is missing in %s", c.args, s, all)
			}
		}
	}
}
