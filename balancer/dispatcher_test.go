package balancer_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/balancer"
	"celeryhead.dev/celeryhead/responder"
)

// withDispatcher runs f in a synctest bubble with a running Dispatcher that owns one target.
func withDispatcher(t *testing.T, f func(ctx context.Context, t *testing.T, d *balancer.Dispatcher)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := balancer.NewDispatcher(balancer.Config{Name: "stock", ServiceTime: serviceTime, Grace: grace}, time.Now)
		go d.Run(ctx)
		d.Adopt([]balancer.Holding{{Target: "a", Slots: slots}})
		f(ctx, t, d)
	})
}

func newRequest(life time.Duration) balancer.Work {
	return balancer.Work{Account: "kiln", Rate: 1, Deadline: time.Now().Add(life)}
}

// Guards against a queued request that is not refused at its deadline, or that stays queued after its caller canceled
// it.
func TestAcquireEndsWithDeadlineOrCancellation(t *testing.T) {
	withDispatcher(t, func(ctx context.Context, t *testing.T, d *balancer.Dispatcher) {
		Convey("Given a target whose only usable slot is occupied", t, func() {
			l, err := d.Acquire(ctx, newRequest(time.Minute))
			So(err, ShouldBeNil)

			Convey("a queued request is refused as not run at its deadline", func() {
				_, err := d.Acquire(ctx, newRequest(time.Second))
				var r *responder.Refusal
				So(errors.As(err, &r), ShouldBeTrue)
				So(r.Reason, ShouldEqual, responder.DeadlineExceeded)
				So(r.Ran, ShouldEqual, responder.NotRun)
			})
			Convey("a queued request whose caller cancels it leaves the queue", func() {
				c, stop := context.WithCancel(ctx)
				time.AfterFunc(time.Second, stop)
				_, err := d.Acquire(c, newRequest(time.Minute))
				So(err, ShouldEqual, context.Canceled)
				So(d.Load().Queued, ShouldEqual, 0)
			})
			Convey("losing the target refuses the queued request", func() {
				time.AfterFunc(time.Second, func() { d.Adopt(nil) })
				_, err := d.Acquire(ctx, newRequest(time.Minute))
				var r *responder.Refusal
				So(errors.As(err, &r), ShouldBeTrue)
				So(r.Reason, ShouldEqual, responder.NoOwner)
				So(d.Residues()[0].Slots, ShouldEqual, 1)
			})
			l.Release(balancer.Success)
		})
	})
}

// Guards against a slot that is freed twice, or that is never freed after a panic.
func TestLeaseIsReleasedOnce(t *testing.T) {
	withDispatcher(t, func(ctx context.Context, t *testing.T, d *balancer.Dispatcher) {
		Convey("Given a lease that is released twice", t, func() {
			a, err := d.Acquire(ctx, newRequest(time.Minute))
			So(err, ShouldBeNil)
			a.Release(balancer.Success)
			b, err := d.Acquire(ctx, newRequest(time.Minute))
			So(err, ShouldBeNil)
			a.Release(balancer.Success)

			Convey("the slot of the next lease stays occupied until that lease is released", func() {
				So(d.Load().Free, ShouldEqual, 0)
				b.Release(balancer.Success)
				So(d.Load().Free, ShouldEqual, 1)
			})
		})
		Convey("Given a request whose function panics", t, func() {
			d.Adopt(nil)
			d.Adopt([]balancer.Holding{{Target: "b", Slots: slots}})
			So(func() {
				_ = d.Do(ctx, newRequest(time.Second), func(*balancer.Lease) balancer.Outcome { panic("fault") })
			}, ShouldPanic)

			Convey("its slot stays occupied until the deadline plus grace, then is free", func() {
				So(d.Load().Free, ShouldEqual, 0)
				<-time.After(time.Second + grace)
				So(d.Load().Free, ShouldEqual, 1)
			})
		})
	})
}

// Guards against losing a slot when a queued request is granted and canceled at the same moment.
func TestGrantAndCancellationCross(t *testing.T) {
	const rounds = 64
	withDispatcher(t, func(ctx context.Context, t *testing.T, d *balancer.Dispatcher) {
		for range rounds {
			l, err := d.Acquire(ctx, newRequest(time.Minute))
			if err != nil {
				t.Fatal(err)
			}
			c, stop := context.WithCancel(ctx)
			var g sync.WaitGroup
			g.Go(func() {
				if l, err := d.Acquire(c, newRequest(time.Minute)); err == nil {
					l.Release(balancer.NotSent)
				}
			})
			synctest.Wait()
			stop()
			l.Release(balancer.NotSent)
			g.Wait()
			if d.Load().Free != 1 {
				t.Fatal("the slot is lost")
			}
		}
	})
}

// Guards against lost or doubly used slots when many requests arrive, end and are canceled concurrently.
func TestConcurrentUseKeepsSlotsExact(t *testing.T) {
	const requests = 2000
	withDispatcher(t, func(ctx context.Context, t *testing.T, d *balancer.Dispatcher) {
		var running, most, done atomic.Int64
		var g sync.WaitGroup
		r := rand.New(rand.NewPCG(*seed, 0))
		for range requests {
			life := time.Duration(r.IntN(300)) * time.Millisecond
			hold := time.Duration(r.IntN(20)) * time.Millisecond
			<-time.After(time.Duration(r.IntN(5)) * time.Millisecond)
			g.Go(func() {
				c, stop := context.WithCancel(ctx)
				defer stop()
				time.AfterFunc(life, stop)
				err := d.Do(c, newRequest(time.Second), func(*balancer.Lease) balancer.Outcome {
					most.Store(max(most.Load(), running.Add(1)))
					<-time.After(hold)
					running.Add(-1)
					return balancer.Success
				})
				if err == nil {
					done.Add(1)
				}
			})
		}
		g.Wait()
		Convey("Slots are never exceeded, and all are free at the end", t, func() {
			So(most.Load(), ShouldEqual, slots)
			So(done.Load(), ShouldBeBetween, requests/4, requests)
			So(d.Load(), ShouldResemble, balancer.Load{Slots: slots, Free: slots})
		})
	})
}
