package daisyqueue_test

import (
	"fmt"
	"time"

	"daisyyoke/core/daisyqueue"
)

func ExampleQueue() {
	q := daisyqueue.New[time.Time](ranks, daisyqueue.Options{Limits: daisyqueue.Limits{Rank: 10, Service: 20}})
	q.Push(start, &item{Rank: 2, Deadline: start.Add(time.Second)})
	q.Push(start, &item{Rank: 0, Deadline: start.Add(time.Minute)})
	if serve, ok := q.Next(start).(daisyqueue.Serve[time.Time]); ok {
		fmt.Println(ranks[serve.Item.Rank].Name, "of", q.Len())
	}
	// Output: urgent of 2
}
