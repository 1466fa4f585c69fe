// Command standin runs stand-ins for the platform's services and for targets, for tests and the demonstration run.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"celeryhead.dev/celeryhead/emulator"
)

type options struct {
	listen      string
	lag         time.Duration
	targets     []string
	slots       int
	connections int
	service     time.Duration
	crashPath   string
	restart     time.Duration
}

func main() {
	o := options{slots: 3, connections: 330, service: 20 * time.Millisecond, restart: time.Second, lag: time.Second}
	table := flaggy.NewSubcommand("table")
	table.Description = "the transactional table service"
	table.String(&o.listen, "", "listen", "IP address and port")
	list := flaggy.NewSubcommand("list")
	list.Description = "the lagging list of instances"
	list.String(&o.listen, "", "listen", "IP address and port")
	list.Duration(&o.lag, "", "lag", "age of every answer")
	target := flaggy.NewSubcommand("targets")
	target.Description = "targets with slots, health and load endpoints and a ledger"
	target.StringSlice(&o.targets, "", "target", "name=IP address:port, for each target")
	target.Int(&o.slots, "", "slots", "slots of each target")
	target.Int(&o.connections, "", "connections", "connections of each target")
	target.Duration(&o.service, "", "service-time", "how long a request holds a slot")
	target.String(&o.crashPath, "", "crash-path", "path of requests that crash a target")
	target.Duration(&o.restart, "", "restart", "how long a target refuses connections after a crash")
	flaggy.SetName("standin")
	flaggy.AttachSubcommand(table, 1)
	flaggy.AttachSubcommand(list, 1)
	flaggy.AttachSubcommand(target, 1)
	flaggy.Parse()
	if err := run(o, table.Used, list.Used, target.Used); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(o options, table, list, targets bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	switch {
	case table:
		return serve(ctx, o.listen, emulator.NewTable())
	case list:
		return runList(ctx, o)
	case targets:
		return runTargets(ctx, o)
	}
	return merry.New("name a stand-in: table, list or targets")
}

// probeInterval is how often the list checks that an instance accepts connections.
const probeInterval = 200 * time.Millisecond

func runList(ctx context.Context, o options) error {
	l := emulator.NewList(emulator.ListConfig{Lag: o.lag, Probe: probeInterval})
	go l.Run(ctx)
	return serve(ctx, o.listen, l.Handler())
}

func serve(ctx context.Context, address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func runTargets(ctx context.Context, o options) error {
	failed := make(chan error, len(o.targets))
	for _, t := range o.targets {
		n, a, ok := strings.Cut(t, "=")
		if !ok {
			return merry.Errorf("target %q is not of the form name=address", t)
		}
		var c net.ListenConfig
		l, err := c.Listen(ctx, "tcp", a)
		if err != nil {
			return err
		}
		e := emulator.NewTarget(emulator.TargetConfig{
			Name:        n,
			Slots:       o.slots,
			Connections: o.connections,
			ServiceTime: o.service,
			CrashPath:   o.crashPath,
			Restart:     o.restart,
		})
		go func() { failed <- e.Serve(l) }()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}
