package handler_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/cataloger"
	"celeryhead.dev/celeryhead/forwarder"
	"celeryhead.dev/celeryhead/handler"
	"celeryhead.dev/celeryhead/logger"
)

// slowCaller reads an answer only once it is released.
type slowCaller struct {
	*httptest.ResponseRecorder
	begun   *sync.WaitGroup
	once    sync.Once
	release <-chan struct{}
}

func (c *slowCaller) Write(b []byte) (int, error) {
	c.once.Do(c.begun.Done)
	<-c.release
	return c.ResponseRecorder.Write(b)
}

// Guards against answers that callers do not read and that take more than a part of the memory together, and against answers that
// are cut for it.
func TestAnswersForSlowCallersAreBounded(t *testing.T) {
	const callers, memory = 40, 4 << 20
	long := bytes.Repeat([]byte("x"), 300<<10)
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(long) }))
	defer target.Close()
	s, err := handler.New(handler.Config{
		Settings: handler.Settings{Name: "n", Region: "almaty", Peers: netip.MustParseAddrPort("127.0.0.1:0"), Limits: handler.Limits{Memory: memory}},
		Protocol: protocol{Protocol: forwarder.InstanceProtocol(), chosen: func(*cataloger.Target) {}},
		Log:      logger.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Configure(cataloger.Configuration{
		Version:  1,
		Services: []cataloger.Service{{Name: "map"}},
		Routes: []cataloger.Route{{
			Name: "look", Host: "ice.example", Prefix: "/", Timeout: time.Minute, Objective: time.Minute, MaxTargets: 1, Open: true, Idempotent: true,
			Destinations: []cataloger.Destination{{Service: "map", Weight: 1}},
		}},
	})
	s.ListTargets(map[string]cataloger.Target{"a": {
		Name: "a", Service: "map", Address: target.Listener.Addr().(*net.TCPAddr).AddrPort(), Region: "almaty", FailureDomain: "arbat", Slots: callers,
	}})
	release := make(chan struct{})
	var begun, ended sync.WaitGroup
	begun.Add(callers)
	cs := make([]*slowCaller, callers)
	for i := range cs {
		cs[i] = &slowCaller{ResponseRecorder: httptest.NewRecorder(), begun: &begun, release: release}
		ended.Go(func() { s.Enter(cs[i], httptest.NewRequest(http.MethodGet, "http://ice.example/x", http.NoBody)) })
	}
	begun.Wait()
	if n := s.BufferedBytes(); n > memory/4 || n == 0 {
		t.Errorf("%d bytes are buffered for %d callers, allowed %d", n, callers, memory/4)
	}
	close(release)
	ended.Wait()
	for i, c := range cs {
		if b, _ := io.ReadAll(c.Result().Body); c.Code != http.StatusOK || !bytes.Equal(b, long) {
			t.Errorf("caller %d: status %d, %d bytes", i, c.Code, len(b))
		}
	}
	if n := s.BufferedBytes(); n != 0 {
		t.Errorf("%d bytes are still taken", n)
	}
}
