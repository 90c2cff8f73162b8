// Command addedlatency measures the latency that one VM adds to a call, compared
// with a direct call to the endpoint, in one run on loopback.
//
// Calls start at a fixed rate, whether or not earlier ones have ended (open loop).
// Rounds with and without the VM alternate, so that both see the same machine load.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisydaemon"
)

type options struct {
	rate      int
	round     time.Duration
	rounds    int
	endpoints int
	slots     int
	metrics   bool
}

func main() {
	var o options
	flag.IntVar(&o.rate, "rate", 2000, "calls a second")
	flag.DurationVar(&o.round, "round", time.Second, "length of a round")
	flag.IntVar(&o.rounds, "rounds", 10, "rounds with the VM, and as many without")
	flag.IntVar(&o.endpoints, "endpoints", 15, "stand-in endpoints")
	flag.IntVar(&o.slots, "slots", 16, "slots of an endpoint")
	flag.BoolVar(&o.metrics, "metrics", false, "write the VM's metrics to standard error at the end")
	flag.Parse()
	daisydaemon.SetGCPercent()
	if err := run(o); err != nil {
		fmt.Fprintf(os.Stderr, "addedlatency: %v\n", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.rate < 1 || o.round <= 0 || o.rounds < 1 || o.endpoints < 1 || o.slots < 1 {
		return daisyerror.InvalidSetting.New("--rate, --round, --rounds, --endpoints and --slots have to be positive")
	}
	b, err := newBench(o)
	if err != nil {
		return err
	}
	defer b.close()
	var direct, viaVM callStats
	// The first round of each kind opens the connections and is not counted.
	for i := range o.rounds + 1 {
		s := b.measure(b.direct)
		t := b.measure(b.viaVM)
		if i > 0 {
			direct.add(s)
			viaVM.add(t)
		}
	}
	report(o, &direct, &viaVM)
	reportWakeDelay()
	if o.metrics {
		if err := b.metrics.WritePrometheus(os.Stderr); err != nil {
			return err
		}
	}
	if direct.failed+viaVM.failed > 0 {
		return daisyerror.Unavailable.New("%d calls failed", direct.failed+viaVM.failed)
	}
	return nil
}

func report(o options, direct, viaVM *callStats) {
	fmt.Printf("%d calls/s, open loop, %d rounds of %v each way, %d endpoints of %d slots\n", o.rate, o.rounds, o.round, o.endpoints, o.slots)
	fmt.Printf("%-10s %8s %8s %10s %10s %10s %12s %12s\n", "", "calls", "failed", "p50 us", "p90 us", "p99 us", "cpu us/call", "allocs/call")
	for _, row := range []struct {
		name  string
		stats *callStats
	}{{"straight", direct}, {"through", viaVM}} {
		fmt.Printf("%-10s %8d %8d %10.1f %10.1f %10.1f %12.1f %12.1f\n", row.name, row.stats.calls, row.stats.failed,
			row.stats.percentileMicroseconds(50), row.stats.percentileMicroseconds(90), row.stats.percentileMicroseconds(99), row.stats.cpuMicrosecondsPerCall(), row.stats.allocsPerCall())
	}
	fmt.Printf("%-10s %8s %8s %10.1f %10.1f %10.1f %12.1f %12.1f\n", "added", "", "",
		viaVM.percentileMicroseconds(50)-direct.percentileMicroseconds(50),
		viaVM.percentileMicroseconds(90)-direct.percentileMicroseconds(90),
		viaVM.percentileMicroseconds(99)-direct.percentileMicroseconds(99),
		viaVM.cpuMicrosecondsPerCall()-direct.cpuMicrosecondsPerCall(),
		viaVM.allocsPerCall()-direct.allocsPerCall())
}
