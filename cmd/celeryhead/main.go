// Command celeryhead changes and shows the configuration of a deployment.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"celeryhead.dev/celeryhead/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, commander.Config{Out: os.Stdout, Err: os.Stderr}, os.Args[1:])
	stop()
	os.Exit(code)
}
