package daisycontroller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
)

// watchList announces this VM to the platform and reads the platform's list, now and then.
// The announcement is repeated because the platform drops VMs that stop announcing themselves.
func (c *Member) watchList(random *rand.Rand) {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = 200 * time.Millisecond
	retryDelays.MaxInterval = listInterval
	timer := time.NewTimer(c.options.FirstListDelay)
	defer timer.Stop()
	var lastRead time.Time
	for {
		due := true
		select {
		case <-timer.C:
			if lastRead.IsZero() && c.options.FirstListDelay > 0 && c.liveVMs() > 1 {
				// Others were found without the list, and read it in their turn.
				c.announce(c.listedSelf())
				lastRead = time.Now()
			}
			due = lastRead.IsZero() || time.Since(lastRead) >= c.listReadInterval()
		case <-c.announceSignal:
		case <-c.ctx.Done():
			return
		}
		if due && !c.updateList() {
			timer.Reset(retryDelays.NextBackOff())
			continue
		}
		if due {
			lastRead = time.Now()
		}
		retryDelays.Reset()
		interval := c.options.ListInterval
		timer.Reset(interval - time.Duration(random.Int64N(int64(interval/4))))
	}
}

// listReadInterval returns how long after a read of the list the next one is due. The number
// of live VMs may have changed since the read.
func (c *Member) listReadInterval() time.Duration {
	// The timer fires up to a quarter of the interval early.
	return daisyvm.ListReadInterval(c.options.ListInterval, c.options.MaxListInterval, c.liveVMs()) * 3 / 4
}

// liveVMs returns the number of live VMs, including this one.
func (c *Member) liveVMs() int {
	live := 1
	for _, m := range c.Table().Others {
		if m.State == daisyvm.Live {
			live++
		}
	}
	return live
}

// updateList announces this VM and then reads the list, so that of two VMs that start at the
// same time at least one finds the other. It reports whether it succeeded. A VM that leaves
// does not read the list.
func (c *Member) updateList() bool {
	self := c.listedSelf()
	c.announce(self)
	return self.Leaving || c.readList()
}

func (c *Member) listedSelf() daisyplatform.ListedVM {
	v := c.options.Self
	return daisyplatform.ListedVM{Name: v.Name, Zone: v.Zone, Peers: v.Peers, Leaving: c.currentStatus().Leaving}
}

// announce adds this VM to the platform's list, unless it has no address for peers:
// other VMs could not connect to it.
func (c *Member) announce(vm daisyplatform.ListedVM) {
	if !vm.Peers.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	answer := c.options.List.AnnounceVM(ctx, vm)
	if _, ok := answer.(daisyplatform.VMAnnounced); !ok {
		c.options.Logger.Warn("failed to announce this VM to the platform", "answer", daisyplatform.AnswerName(answer))
	}
}

func (c *Member) readList() bool {
	ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
	defer cancel()
	sent := c.options.Age.Now()
	answer, ok := c.options.List.ListVMs(ctx).(daisyplatform.VMsListed)
	if !ok {
		return false
	}
	// This reply comes at once, unlike those that wait for changes, and so bounds the clock well.
	c.options.Age.storeReplied(sent, daisyfeed.Era(answer.Era), answer.Clock)
	listed := make([]daisyvm.ListedVM, 0, len(answer.VMs))
	for _, v := range answer.VMs {
		listed = append(listed, daisyvm.ListedVM{Name: v.Name, Zone: v.Zone, Peers: v.Peers, Leaving: v.Leaving})
	}
	if c.options.Listed != nil {
		c.options.Listed.SetListed(countVMs(listed, c.options.Self.Name))
	}
	c.post(daisyvm.PlatformListed{VMs: listed})
	return true
}

// countVMs returns the number of VMs in a list that are not leaving, with this VM, which may
// not be in it yet.
func countVMs(listed []daisyvm.ListedVM, self daisyvm.Name) int {
	n := 1
	for _, v := range listed {
		if !v.Leaving && v.Name != self {
			n++
		}
	}
	return n
}
