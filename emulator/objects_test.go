package emulator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"celeryhead.dev/celeryhead/emulator"
)

// Guards against objects that are mixed up or lost between PUT and GET.
func TestObjects(t *testing.T) {
	o := emulator.NewObjects()
	for _, c := range []struct {
		method, name string
		status       int
	}{
		{http.MethodPut, "a", http.StatusNoContent},
		{http.MethodPut, "a/b", http.StatusNoContent},
		{http.MethodGet, "a", http.StatusOK},
		{http.MethodGet, "a/b", http.StatusOK},
		{http.MethodGet, "c", http.StatusNotFound},
	} {
		w := httptest.NewRecorder()
		o.ServeHTTP(w, httptest.NewRequest(c.method, "/objects/"+c.name, strings.NewReader("value of "+c.name)))
		if w.Code != c.status || w.Code == http.StatusOK && w.Body.String() != "value of "+c.name {
			t.Errorf("%s %s: %d %q, want %d", c.method, c.name, w.Code, w.Body, c.status)
		}
	}
}
