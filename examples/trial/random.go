package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// firstFaultTime is when the first pair of random faults begins, and
	// faultPairInterval the time from one pair to the next.
	firstFaultTime    = time.Second
	faultPairInterval = 3 * time.Second
	// minFaultDuration is the shortest duration of a random fault; the longest is twice that.
	minFaultDuration = time.Second
)

// randomFaults returns pairs of faults that begin together, for the length of the load.
func randomFaults(seed uint64, o *options) ([]timedFault, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	var faults []timedFault
	for at := firstFaultTime; at+faultPairInterval <= o.duration; at += faultPairInterval {
		for range 2 {
			f, err := parseFault(randomFault(random, at, o))
			if err != nil {
				return nil, err
			}
			faults = append(faults, f)
		}
	}
	return faults, nil
}

func randomFault(random *rand.Rand, at time.Duration, o *options) string {
	duration := minFaultDuration + time.Duration(random.Int64N(int64(minFaultDuration)))
	names := []string{
		"kill-vm", "pause-vm", "slow-endpoint", "fail-fast-endpoint", "shed-endpoint", "drain-endpoint",
		"break-endpoint", "freeze-endpoint", "platform-down", "platform-slow", "platform-lost-replies", "flood",
	}
	name := names[random.IntN(len(names))]
	which := fmt.Sprint(random.IntN(o.endpoints))
	switch name {
	case "kill-vm", "pause-vm":
		which = fmt.Sprint(random.IntN(o.vms))
	case "flood":
		which = []string{"urgent", "standard", "bulk"}[random.IntN(3)] + "*5"
	}
	return fmt.Sprintf("%s,%s,%s,%s", at, name, which, duration.Round(time.Millisecond))
}
