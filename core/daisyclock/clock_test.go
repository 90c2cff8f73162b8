package daisyclock_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyclock"
	"daisyyoke/core/daisyfeed"
)

func ExampleClock() {
	c := daisyclock.New()
	// The store showed 100 s, and the reply took two seconds: that was at 10 s or later.
	c.Handle(daisyclock.StoreReplied{Sent: 10 * time.Second, Received: 12 * time.Second, Store: 100 * time.Second})
	c.Handle(daisyclock.RowsConfirmed{At: 12 * time.Second, Store: 100 * time.Second})
	fmt.Println("not outdated before", c.KnownAt())
	fmt.Println("the store shows at most", c.Latest(0, 20*time.Second))
	// Output:
	// not outdated before 10s
	// the store shows at most 1m50.01s
}

const boot = 50 * time.Second

var sentAt = time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)

// Guards against a bound that is too low because a message was delayed, repeated or meant for
// an earlier process or another era, or because a VM was suspended.
func TestOnlyProvenReadingsCount(t *testing.T) {
	beat := daisyclock.HeartbeatSent{To: "vm-2", Sent: sentAt, At: boot}
	echo := daisyclock.HeartbeatArrived{From: "vm-2", Echo: sentAt, Held: 2 * time.Second, Era: 2, Store: 200 * time.Second}
	confirmed := daisyclock.RowsConfirmed{At: boot + time.Minute, Era: 2, Store: 199 * time.Second}
	for _, c := range []struct {
		name   string
		events []daisyclock.Event
		want   time.Duration
	}{
		{"echo, however late", []daisyclock.Event{beat, echo, confirmed}, boot + 998*time.Millisecond - time.Millisecond},
		{"rows confirmed first", []daisyclock.Event{beat, confirmed, echo}, boot + 998*time.Millisecond - time.Millisecond},
		{"echo of another process", []daisyclock.Event{echo, confirmed}, 0},
		{"echo of another VM's heartbeat", []daisyclock.Event{daisyclock.HeartbeatSent{To: "vm-3", Sent: sentAt, At: boot}, echo, confirmed}, 0},
		{"rows of an earlier era", []daisyclock.Event{beat, echo, daisyclock.RowsConfirmed{At: boot + time.Minute, Era: 1, Store: 199 * time.Second}}, 0},
		{"no clock", []daisyclock.Event{beat, echo, daisyclock.RowsConfirmed{At: boot + time.Minute, Era: 2}}, 0},
		{"clock of an earlier era", []daisyclock.Event{beat, echo, daisyclock.StoreReplied{Sent: boot + 9*time.Second, Received: boot + 9*time.Second, Era: 1, Store: 199 * time.Second}, confirmed}, boot + 997*time.Millisecond},
		{"restored since", []daisyclock.Event{beat, echo, confirmed, daisyclock.StoreReplied{Sent: boot + time.Minute, Received: boot + time.Minute, Era: 3, Store: time.Second}}, boot + 997*time.Millisecond},
		{"rows of the future", []daisyclock.Event{beat, echo, daisyclock.RowsConfirmed{At: boot + 3*time.Second, Era: 2, Store: time.Hour}}, 0},
		{"later rows elsewhere", []daisyclock.Event{beat, echo, confirmed, daisyclock.LaterRowsElsewhere{Known: true}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := daisyclock.New()
			for _, e := range c.events {
				clock.Handle(e)
			}
			assert.Equal(t, clock.KnownAt(), c.want)
		})
	}
}

// Guards against a VM that never has a bound again after the store's clock was set forward.
func TestClockOfTheStoreIsSetForward(t *testing.T) {
	c := daisyclock.New()
	c.Handle(daisyclock.StoreReplied{Sent: boot, Received: boot, Store: time.Minute})
	c.Handle(daisyclock.StoreReplied{Sent: boot + time.Second, Received: boot + 2*time.Second, Store: time.Hour})
	c.Handle(daisyclock.RowsConfirmed{At: boot + 2*time.Second, Store: time.Hour})
	assert.Equal(t, c.KnownAt(), boot+time.Second)
	assert.Equal(t, c.Latest(daisyfeed.Era(1), boot+time.Hour), time.Duration(0))
}
