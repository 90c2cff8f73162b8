package daisyprobe_test

import (
	"fmt"
	"time"
)

func ExampleSchedule() {
	s := newSchedule()
	s.Add(start, address, 3)
	fmt.Println(s.Due(start) == nil)
	probe := s.Due(start.Add(4 * time.Second))
	fmt.Println(probe.Address())
	// Output:
	// true
	// 127.0.0.1:9001
}
