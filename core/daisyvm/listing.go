package daisyvm

import "time"

// ListReadInterval returns how long after a VM has read the platform's list it reads the list
// again. The base applies to up to FanOut live VMs. Among more, all of them together read the
// list as often as FanOut VMs do, since they tell each other of new VMs, but each does at
// least once in each longest.
func ListReadInterval(base, longest time.Duration, liveVMs int) time.Duration {
	return min(max(base, base*time.Duration(liveVMs)/FanOut), longest)
}
