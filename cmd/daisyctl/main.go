// Command daisyctl is the command-line client for operators of daisyyoke.
package main

import (
	"context"
	"os"
	"os/signal"

	"daisyyoke/io/daisyctl"
	"daisyyoke/platform/daisyadapter"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := daisyctl.Main(ctx, os.Args[1:], daisyadapter.NewChecker())
	stop()
	os.Exit(code)
}
