// Package daisyrate limits the rate at which requests are sent.
package daisyrate

import "time"

// defaultSaveTime is the time for which a Bucket saves what it does not use, unless
// SaveFor sets another one.
const defaultSaveTime = time.Second

// Bucket limits requests to one per interval on average. It saves the requests of the
// last second, or a single one if the interval is longer. A single saved request is lost
// after a second, and the next one is due an interval later: many VMs with a small share
// of a rate each must not send what they saved at the same time. SaveFor sets another
// time than a second.
//
// The zero value does not limit.
type Bucket struct {
	interval time.Duration
	// next is when the next request is due.
	next time.Time
	// save is the time for which unused requests are saved; 0 means defaultSaveTime.
	save time.Duration
}

// SaveFor sets the time for which the bucket saves what it does not use; 0 means the
// default, a second.
func (b *Bucket) SaveFor(save time.Duration) { b.save = save }

func (b *Bucket) saveTime() time.Duration {
	if b.save == 0 {
		return defaultSaveTime
	}
	return b.save
}

// Limit sets the interval, which must be positive. A bucket that did not limit before
// allows its first request after phase intervals.
func (b *Bucket) Limit(now time.Time, interval time.Duration, phase float64) {
	switch {
	case b.interval == 0:
		b.next = now.Add(time.Duration(phase * float64(interval)))
	case b.interval != interval && b.next.After(now):
		rest := float64(b.next.Sub(now)) * float64(interval) / float64(b.interval)
		b.next = now.Add(time.Duration(rest))
	}
	b.interval = interval
}

// Unlimit lets the bucket allow every request.
func (b *Bucket) Unlimit() { *b = Bucket{} }

// Limiting reports whether the bucket has a limit.
func (b *Bucket) Limiting() bool { return b.interval > 0 }

// Next returns when the next request is allowed, which may be in the past.
func (b *Bucket) Next(now time.Time) time.Time {
	late := now.Sub(b.next)
	save := b.saveTime()
	if b.interval <= save || late < save {
		return b.next
	}
	lost := (late-save)/b.interval + 1
	return b.next.Add(lost * b.interval)
}

// Allows reports whether a request may be sent now.
func (b *Bucket) Allows(now time.Time) bool { return !b.Limiting() || !now.Before(b.Next(now)) }

// Take counts a request that is sent now, whether or not it was allowed.
func (b *Bucket) Take(now time.Time) {
	if !b.Limiting() {
		return
	}
	earliest := now.Add(min(0, b.interval-b.saveTime()))
	if next := b.Next(now); next.After(earliest) {
		earliest = next
	}
	b.next = earliest.Add(b.interval)
}
