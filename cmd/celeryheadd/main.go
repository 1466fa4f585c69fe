// Command celeryheadd is the daemon of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"celeryhead.dev/celeryhead/certifier"
	"celeryhead.dev/celeryhead/loader"
	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/platform"
	"celeryhead.dev/celeryhead/server"
)

const version = "0.1.0"

func main() {
	var settings, check, checkPlatform string
	flaggy.SetName("celeryheadd")
	flaggy.SetDescription("runs one entry instance of the traffic steering system")
	flaggy.SetVersion(version)
	flaggy.String(&settings, "s", "settings", "TOML file with the settings of this instance")
	flaggy.String(&check, "", "check", "check a settings file and the certificates that it names, and exit")
	flaggy.String(&checkPlatform, "", "check-platform", "check a settings file of the users' platform, and exit")
	flaggy.Parse()
	if err := run(settings, check, checkPlatform); err != nil {
		fmt.Fprintln(os.Stderr, "celeryheadd:", err)
		os.Exit(1)
	}
}

func run(settings, check, checkPlatform string) error {
	if checkPlatform != "" {
		if _, err := platform.Load(checkPlatform); err != nil {
			return err
		}
		fmt.Println(checkPlatform + ": ok")
		return nil
	}
	if check == "" && settings == "" {
		if p := os.Getenv(platform.EnvironmentSettings); p != "" {
			return runOnPlatform(p)
		}
	}
	if check != "" {
		s, err := loader.Load(check)
		if err != nil {
			return err
		}
		if _, err := certifier.NewRenewer(server.RenewerConfig(s)); err != nil {
			return merry.Prepend(err, "tls")
		}
		fmt.Println(check + ": ok")
		return nil
	}
	s, err := loader.Load(settings)
	if err != nil {
		return err
	}
	l, err := logger.New(logger.Config{Writer: os.Stderr, Level: s.Log.Level, Format: s.Log.Format, Instance: s.Name})
	if err != nil {
		return err
	}
	d, err := server.New(server.Config{Settings: s, Log: l})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return d.Run(ctx)
}

// logCloseLimit bounds the wait for the last log lines.
const logCloseLimit = 200 * time.Millisecond

// runOnPlatform runs an instance on the users' platform, whose settings name no log.
func runOnPlatform(path string) error {
	q := logger.NewQueue(os.Stdout)
	defer q.Close(logCloseLimit)
	c, err := platform.Load(path)
	if err != nil {
		return err
	}
	l, err := logger.New(logger.Config{Writer: q, Level: "info", Format: "json", Instance: c.Instance.Name})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return platform.Run(ctx, path, l)
}
