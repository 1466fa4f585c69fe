package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards the example against changes of the packages: two workers with one job, a job that stays without a worker, or
// output that differs from run to run.
func TestRun(t *testing.T) {
	var a, b bytes.Buffer
	for _, w := range []*bytes.Buffer{&a, &b} {
		if err := run(w); err != nil {
			t.Fatal(err)
		}
	}
	if a.String() != b.String() {
		t.Error("two runs differ")
	}
	if strings.Contains(a.String(), "+") {
		t.Errorf("two workers may run one job:\n%s", &a)
	}
	lines := strings.Split(strings.TrimSpace(a.String()), "\n")
	if last := lines[len(lines)-1]; strings.Contains(last, "two") || strings.Contains(last, "-") {
		t.Errorf("jobs at the end: %s", last)
	}
}
