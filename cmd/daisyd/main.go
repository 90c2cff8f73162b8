// Command daisyd is the daemon of one entry VM.
package main

import (
	"context"
	"os"

	"daisyyoke/io/daisydaemon"
)

func main() {
	os.Exit(daisydaemon.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
