// Command daisyd runs the daemon of one entry VM.
package main

import (
	"context"
	"os"

	"daisyyoke/io/daisydaemon"
	"daisyyoke/platform/daisyadapter"
)

func main() {
	platform := daisyadapter.NewCmdPlatform(os.Stdout, nil)
	os.Exit(daisydaemon.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr, platform))
}
