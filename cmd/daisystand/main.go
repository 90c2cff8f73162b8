// Command daisystand serves simulated endpoints and a simulated platform for trials and
// tests of daisyyoke.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"daisyyoke/io/daisystand"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return daisystand.Execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
}
