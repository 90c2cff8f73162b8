package daisyroute_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

func ExampleDispatcher() {
	d := daisyroute.NewDispatcher(daisyroute.Options{
		Self:    self,
		Service: newService(1, 1),
		Random:  rand.New(rand.NewPCG(1, 2)),
	})
	for i := range 2 {
		request := daisyrequest.Request{ID: daisyrequest.ID(i + 1), Arrived: start, Deadline: start.Add(time.Second)}
		fmt.Println(len(d.Handle(start, daisyroute.RequestArrived{Request: request})), "decisions")
	}
	shed := daisyroute.AttemptResolved{Attempt: 1, Outcome: daisyrequest.Shed{}, Resendable: true}
	for _, decision := range d.Handle(start, shed) {
		if f, ok := decision.(daisyroute.Fail); ok {
			fmt.Println("request", f.Request, "fails:", f.Cause)
		}
	}
	fmt.Println("wakes after", d.NextWake().Sub(start))
	// Output:
	// 1 decisions
	// 0 decisions
	// request 1 fails: none-usable
	// wakes after 10ms
}
