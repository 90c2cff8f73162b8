package daisyclock_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"daisyyoke/core/daisyclock"
	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyvm"
)

const (
	revocationTime = 5 * time.Second
	// maxAge is the age from which VMs reject requests.
	maxAge     = revocationTime - revocationTime/50
	firstClock = time.Hour
)

type action struct {
	at  time.Duration
	run func()
}

type actions []action

func (a actions) Len() int           { return len(a) }
func (a actions) Less(i, j int) bool { return a[i].at < a[j].at }
func (a actions) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)        { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// sim simulates VMs that follow a store and exchange heartbeats, in virtual time.
type sim struct {
	random *rand.Rand
	now    time.Duration
	queue  actions
	vms    []*simVM
	// version, era and revision are those of the store and of its row, and revokedAt when each
	// revision was acknowledged.
	version   daisyfeed.Version
	era       daisyfeed.Era
	revision  int
	clockBack time.Duration
	revokedAt []time.Duration
	// storeDown reports whether the store does not answer a VM, and delay how long a message
	// takes; negative if it is lost.
	storeDown func(*simVM) bool
	delay     func(from, to *simVM) time.Duration
	// maxBound is the highest bound of any VM since it was reset, and accepted the highest true
	// age of a configuration that a request was accepted with.
	maxBound, accepted time.Duration
}

type simVM struct {
	sim  *sim
	name daisyvm.Name
	up   bool
	// revision is that of the configuration in force.
	revision int
	drift    float64
	// started and suspended are the true start and the time in suspension, resumeAt the end of
	// the latest one.
	started, suspended, resumeAt time.Duration
	follower                     *daisyfeed.Follower
	readers                      *daisyfeed.Readers
	clock                        *daisyclock.Clock
	turn                         []int
	heard                        map[daisyvm.Name]simBeat
	unavailable                  map[daisyvm.Name]bool
}

// simBeat is the time in the latest heartbeat of a VM, and when it arrived.
type simBeat struct {
	sent    time.Time
	arrived time.Time
}

func newSim(seed uint64, size int) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 4)), version: 1, era: 1, revokedAt: make([]time.Duration, 1)}
	s.storeDown = func(*simVM) bool { return false }
	s.delay = func(_, _ *simVM) time.Duration {
		return 500*time.Microsecond + time.Duration(s.random.Int64N(int64(3*time.Millisecond)))
	}
	for i := range size {
		v := &simVM{sim: s, name: daisyvm.Name(fmt.Sprintf("vm-%03d", i))}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		v.reset()
	}
	s.updateReaders()
	return s
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.queue, action{s.now + d, run}) }

func (s *sim) run(length time.Duration) {
	for end := s.now + length; ; {
		if s.queue[0].at > end {
			s.now = end
			return
		}
		a := heap.Pop(&s.queue).(action)
		s.now = a.at
		a.run()
	}
}

// on runs an event on a VM unless that has ended since, and when its suspension is over.
func (v *simVM) on(d time.Duration, run func()) {
	started := v.started
	v.sim.after(d, func() {
		switch {
		case !v.up || v.started != started:
		case v.sim.now < v.resumeAt:
			v.on(v.resumeAt-v.sim.now, run)
		default:
			run()
		}
	})
}

// boot is the time since boot, and wall the monotonic one, which leaves suspensions out.
func (v *simVM) boot() time.Duration {
	return boot + time.Duration(float64(v.sim.now)*(1+v.drift))
}

func (v *simVM) wall() time.Time {
	return sentAt.Add(time.Duration(float64(v.sim.now-v.suspended) * (1 + v.drift)))
}

func (v *simVM) start() {
	v.reset()
	v.sim.updateReaders()
}

func (v *simVM) reset() {
	s := v.sim
	v.up, v.started, v.revision, v.drift = true, s.now, 0, (s.random.Float64()-0.5)/1000
	v.follower, v.readers, v.clock = daisyfeed.NewConfirmedFollower(), daisyfeed.NewReaders(v.name), daisyclock.New()
	v.heard, v.unavailable = make(map[daisyvm.Name]simBeat), make(map[daisyvm.Name]bool)
	v.on(time.Duration(s.random.IntN(250))*time.Millisecond, v.beat)
	v.on(0, v.tick)
	v.on(time.Duration(s.random.IntN(30_000))*time.Millisecond, v.readList)
}

// readList reads the list of VMs, whose reply has the clock too.
func (v *simVM) readList() {
	s, sent := v.sim, v.boot()
	if !s.storeDown(v) {
		s.after(max(0, s.delay(v, v)), func() {
			era, clock := s.era, firstClock+s.now-s.clockBack
			v.on(max(0, s.delay(v, v)), func() {
				v.clock.Handle(daisyclock.StoreReplied{Sent: sent, Received: v.boot(), Era: era, Store: clock})
			})
		})
	}
	v.on(daisyvm.ListReadInterval(30*time.Second, 5*time.Minute, len(s.vms)), v.readList)
}

// updateReaders tells all VMs which of them are up.
func (s *sim) updateReaders() {
	var up []daisyvm.VM
	for _, v := range s.vms {
		if v.up {
			up = append(up, daisyvm.VM{Name: v.name})
		}
	}
	for _, v := range s.vms {
		if v.up {
			v.readers.SetVMs(up, nil)
			v.updateRole()
		}
	}
}

func (v *simVM) updateRole() {
	if role, changed := v.readers.Role(); changed {
		v.handle(role)
	}
}

// suspend stops a VM. What arrives meanwhile is handled at the end.
func (v *simVM) suspend(length time.Duration) {
	v.resumeAt = v.sim.now + length
	v.suspended += length
}

func (v *simVM) tick() {
	if wake := v.follower.NextWake(); !wake.IsZero() && !wake.After(v.wall()) {
		v.handle(daisyfeed.TimePassed{})
	}
	v.check()
	v.on(20*time.Millisecond, v.tick)
}

// check accepts a request if the bound allows it, and records how long the configuration that
// it is accepted with has been outdated.
func (v *simVM) check() {
	known := v.clock.KnownAt()
	bound := v.boot() - known
	v.sim.maxBound = max(v.sim.maxBound, bound)
	if known > 0 && bound < maxAge && v.revision+1 < len(v.sim.revokedAt) {
		v.sim.accepted = max(v.sim.accepted, v.sim.now-v.sim.revokedAt[v.revision+1])
	}
}

func (v *simVM) handle(event daisyfeed.Event) {
	for _, d := range slices.Clone(v.follower.Handle(v.wall(), event)) {
		switch d := d.(type) {
		case daisyfeed.ReadRows:
			v.read(0, 0)
		case daisyfeed.AwaitChanges:
			v.read(d.After, d.Wait)
		case daisyfeed.RequestChanges:
			v.send(d.To, daisyfeed.ChangesRequested{From: v.name, After: d.After, Era: d.Era})
		case daisyfeed.SendChanges:
			v.send(d.To, daisyfeed.ChangesReceived{From: v.name, Changes: d.Changes})
		}
	}
	for _, r := range v.follower.Rows() {
		v.revision = max(v.revision, int(r.Written.Sequence))
	}
	v.clock.Handle(daisyclock.LaterRowsElsewhere{Known: v.follower.Outdated()})
	if v.follower.Settled() {
		v.clock.Handle(daisyclock.RowsConfirmed{At: v.boot(), Era: v.follower.Era(), Store: v.follower.Bookmark().Clock})
	}
}

func (v *simVM) send(to daisyvm.Name, event daisyfeed.Event) {
	for _, o := range v.sim.vms {
		if d := v.sim.delay(v, o); o.name == to && d >= 0 {
			o.on(d, func() { o.handle(event) })
		}
	}
}

// read asks the store for the changes after a version, or for all rows, and is answered when
// there are some or the wait is over.
func (v *simVM) read(after daisyfeed.Version, wait time.Duration) {
	s, sent := v.sim, v.boot()
	var poll func(left time.Duration)
	reply := func(event daisyfeed.Event, clock time.Duration) {
		era := s.era
		v.on(max(0, s.delay(v, v)), func() {
			v.clock.Handle(daisyclock.StoreReplied{Sent: sent, Received: v.boot(), Era: era, Store: clock})
			v.handle(event)
		})
	}
	poll = func(left time.Duration) {
		clock := firstClock + s.now - s.clockBack
		var rows []daisyfeed.Row
		if s.version > after {
			rows = []daisyfeed.Row{{Key: "config", Version: s.version, Written: daisyfeed.Written{Sequence: uint64(s.revision)}}}
		}
		switch {
		case s.storeDown(v):
			v.on(wait+time.Second, func() { v.handle(daisyfeed.ReadFailed{}) })
		case after > s.version:
			reply(daisyfeed.HistoryLost{Era: s.era}, 0)
		case after == 0:
			reply(daisyfeed.RowsRead{Rows: rows, AsOf: s.version, Era: s.era, Clock: clock}, clock)
		case rows == nil && left > 0:
			step := min(left, 20*time.Millisecond)
			s.after(step, func() { poll(left - step) })
		default:
			reply(daisyfeed.RowsChanged{Rows: rows, AsOf: s.version, Era: s.era, Clock: clock}, clock)
		}
	}
	s.after(max(0, s.delay(v, v)), func() { poll(wait) })
}

// beat sends a heartbeat to the next eight VMs.
func (v *simVM) beat() {
	s := v.sim
	for range min(8, len(s.vms)-1) {
		if len(v.turn) == 0 {
			v.turn = s.random.Perm(len(s.vms))
		}
		o := s.vms[v.turn[0]]
		v.turn = v.turn[1:]
		if o != v {
			v.beatTo(o)
		}
	}
	v.on(250*time.Millisecond, v.beat)
}

func (v *simVM) beatTo(o *simVM) {
	sent, held := v.wall(), time.Duration(0)
	echo, echoes := v.heard[o.name]
	if echoes {
		held = sent.Sub(echo.arrived)
	}
	v.clock.Handle(daisyclock.HeartbeatSent{To: o.name, Sent: sent, At: v.boot()})
	era, last, unavailable := v.follower.Era(), v.follower.Last(), v.follower.StoreUnavailable()
	inForce, holding, latest := v.revision, v.follower.Holding(), v.clock.Latest(era, v.boot())
	d := v.sim.delay(v, o)
	if d < 0 {
		return
	}
	o.on(d, func() {
		o.heard[v.name] = simBeat{sent: sent, arrived: o.wall()}
		if echoes && latest > 0 {
			o.clock.Handle(daisyclock.HeartbeatArrived{From: v.name, Echo: echo.sent, Held: held, Era: era, Store: latest})
		}
		if o.unavailable[v.name] != unavailable {
			o.unavailable[v.name] = unavailable
			o.readers.SetStoreUnavailable(v.name, unavailable)
			o.updateRole()
		}
		o.handle(daisyfeed.PeerVersionKnown{From: v.name, Last: last, Era: era, Holding: holding, InForce: daisyfeed.Written{Sequence: uint64(inForce)}})
	})
}

// revoke writes a configuration without the key of the one before.
func (s *sim) revoke() {
	s.version++
	s.revision = len(s.revokedAt)
	s.revokedAt = append(s.revokedAt, s.now)
}

// restore sets the store back by a number of writes.
func (s *sim) restore(writes int) {
	s.era++
	s.version -= daisyfeed.Version(writes)
	s.revision -= writes
	s.clockBack += 20 * time.Second
}

// accepting returns how many VMs accept requests.
func (s *sim) accepting() int {
	n := 0
	for _, v := range s.vms {
		if k := v.clock.KnownAt(); v.up && k > 0 && v.boot()-k < maxAge {
			n++
		}
	}
	return n
}
