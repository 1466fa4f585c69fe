package logger_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"celeryhead.dev/celeryhead/logger"
)

// Guards against events that operators meet in a log but not in the catalogue, and the reverse.
func TestCatalogueMatchesCode(t *testing.T) {
	b, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for l := range strings.Lines(string(b)) {
		c := strings.Split(l, "|")
		if len(c) < 6 || !strings.ContainsAny(strings.TrimSpace(c[1]), "0123456789") {
			continue
		}
		if strings.TrimSpace(c[4]) == "" || strings.TrimSpace(c[5]) == "" {
			t.Errorf("meaning or action is missing: %s", l)
		}
		rows[row(strings.TrimSpace(c[1]), strings.TrimSpace(c[2]), strings.TrimSpace(c[3]))] = true
	}
	for _, e := range logger.Events() {
		r := row(fmt.Sprint(e.Number), e.Level.String(), e.Message)
		if !rows[r] {
			t.Errorf("docs/events.md lacks: %s", r)
		}
		delete(rows, r)
	}
	for r := range rows {
		t.Errorf("docs/events.md has an event that the code lacks: %s", r)
	}
}

func row(n, level, message string) string {
	return "| " + n + " | " + level + " | " + message + " |"
}

// Guards against events without number or instance, which operators search by.
func TestEventCarriesNumberAndInstance(t *testing.T) {
	for _, f := range []string{"json", "logfmt"} {
		var b bytes.Buffer
		l, err := logger.New(logger.Config{Writer: &b, Level: "info", Format: f, Instance: "almaty-1"})
		if err != nil {
			t.Fatal(err)
		}
		l.HeadsAdopted(7, "store")
		for _, w := range []string{"2001", "almaty-1", "store"} {
			if !strings.Contains(b.String(), w) {
				t.Errorf("%s line %q lacks %q", f, b.String(), w)
			}
		}
	}
}

// Guards against a misspelt level that would silence the log.
func TestUnknownLevelIsRefused(t *testing.T) {
	if _, err := logger.New(logger.Config{Level: "loud"}); err == nil {
		t.Fatal("level was accepted")
	}
}
