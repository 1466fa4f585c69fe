package emulator_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"celeryhead.dev/celeryhead/emulator"
)

// Guards against objects that are mixed up or lost between PUT and GET.
func TestObjects(t *testing.T) {
	s := httptest.NewServer(emulator.NewObjects())
	defer s.Close()
	for _, name := range []string{"a", "a/b"} {
		q, err := http.NewRequest(http.MethodPut, s.URL+"/objects/"+name, bytes.NewBufferString("value of "+name))
		if err != nil {
			t.Fatal(err)
		}
		if status, _ := do(t, q); status != http.StatusNoContent {
			t.Fatalf("PUT %s: %d", name, status)
		}
	}
	for name, want := range map[string]int{"a": http.StatusOK, "a/b": http.StatusOK, "c": http.StatusNotFound} {
		q, err := http.NewRequest(http.MethodGet, s.URL+"/objects/"+name, nil)
		if err != nil {
			t.Fatal(err)
		}
		status, body := do(t, q)
		if status != want || status == http.StatusOK && body != "value of "+name {
			t.Fatalf("GET %s: %d %q, want %d", name, status, body, want)
		}
	}
}

func do(t *testing.T, q *http.Request) (int, string) {
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		t.Fatal(err)
	}
	return p.StatusCode, string(b)
}
