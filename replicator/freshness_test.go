package replicator_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/replicator"
)

// playSuspended runs a replicator whose clock f can advance while everything else stands still.
func playSuspended(t *testing.T, s *store, follows bool, f func(r *replicator.Replicator, age func() time.Duration, suspend func(time.Duration))) {
	synctest.Test(t, func(t *testing.T) {
		s.changed = make(chan struct{})
		var skipped atomic.Int64
		clock := func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
		r := replicator.New(replicator.Config{
			Source:  s,
			Tables:  []replicator.Table{{Name: "op", Wait: time.Second, Changed: func([]replicator.Row) {}}},
			Follows: func() bool { return follows },
			Log:     logger.Discard(),
			Clock:   clock,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Run(ctx)
		}()
		time.Sleep(5 * time.Second)
		age := func() time.Duration {
			c := r.CompleteAsOf("op")
			if c.IsZero() {
				return -1
			}
			return clock().Sub(c)
		}
		synctest.Wait()
		f(r, age, func(d time.Duration) { skipped.Add(int64(d)) })
		cancel()
		<-done
	})
}

// Guards against an answer from before a suspension that is read after it and makes an old copy look complete.
func TestSuspendedCopyIsNotComplete(t *testing.T) {
	s := newStore()
	s.write("config", "1")
	playSuspended(t, s, true, func(_ *replicator.Replicator, age func() time.Duration, suspend func(time.Duration)) {
		if a := age(); a < 0 || a > time.Second {
			t.Errorf("age %v while the store answers", a)
		}
		suspend(7 * time.Second)
		for i := range 5 {
			if a := age(); a != -1 {
				t.Errorf("age %v, %d ms after a suspension of 7 s", a, i*100)
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if a := age(); a < 0 || a > time.Second {
			t.Errorf("age %v after 3 s", a)
		}
	})
}

// Guards against a copy that counts as complete because a peer with newer rows is.
func TestCopyBehindPeerIsNotComplete(t *testing.T) {
	s := newStore()
	s.write("config", "1")
	playSuspended(t, s, false, func(r *replicator.Replicator, age func() time.Duration, _ func(time.Duration)) {
		content := r.Contents()["op"]
		if a := age(); a < 5*time.Second {
			t.Errorf("age %v without a call to the store for 5 s", a)
		}
		r.Claimed("op", content+1, time.Now())
		if a := age(); a < 5*time.Second {
			t.Errorf("age %v although a peer has newer rows", a)
		}
		r.Claimed("op", content, time.Now().Add(time.Millisecond))
		if a := age(); a > 0 {
			t.Errorf("age %v although a peer has the same rows now", a)
		}
	})
}
