package daisyplatform

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyvm"
)

const (
	// embeddedShards is the number of shards, each with a lock of its own.
	embeddedShards = 16
	// MaxLag is the maximum age of the state that a lagging read returns.
	MaxLag = time.Minute
	// announcementTTL is how long a VM stays on the list after its last announcement.
	announcementTTL = 30 * time.Second
)

// Embedded is an in-memory platform, for trials in one process and for the stand-in
// server. It is always available; Faulty adds faults.
type Embedded struct {
	shards [embeddedShards]embeddedShard
	// era is changed and used for a row under the lock of its shard.
	era atomic.Uint64
}

// embeddedShard holds the rows, objects and VMs whose names hash to it.
type embeddedShard struct {
	mu      sync.Mutex
	rows    map[string][]rowVersion
	objects map[string]object
	vms     map[daisyvm.Name][]announcement
}

// rowVersion is a version of a row and the time of its write. Older versions are kept for
// lagging reads.
type rowVersion struct {
	row Row
	at  time.Time
}

// object is an object and the time of its write.
type object struct {
	data []byte
	at   time.Time
}

// announcement is a VM as it was announced, and the time of the announcement.
type announcement struct {
	vm ListedVM
	at time.Time
}

var _ Platform = (*Embedded)(nil)

// NewEmbedded returns an empty platform.
func NewEmbedded() *Embedded {
	e := &Embedded{}
	for i := range e.shards {
		s := &e.shards[i]
		s.rows = make(map[string][]rowVersion)
		s.objects = make(map[string]object)
		s.vms = make(map[daisyvm.Name][]announcement)
	}
	return e
}

func (e *Embedded) shard(name string) *embeddedShard {
	return &e.shards[xxhash.Sum64String(name)%embeddedShards]
}

// GetRow answers RowRead or NotFound, or Unavailable for an invalid key.
func (e *Embedded) GetRow(_ context.Context, key string) Answer { return e.getRow(key, 0) }

// getRow reads a row as it was at the given lag before now.
func (e *Embedded) getRow(key string, lag time.Duration) Answer {
	if err := checkName(key); err != nil {
		return Unavailable{Err: err}
	}
	s := e.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := versionAt(s.rows[key], time.Now().Add(-lag))
	if !ok {
		return NotFound{Era: Era(e.era.Load())}
	}
	return RowRead{Row: cloneRow(v.row), Era: Era(e.era.Load())}
}

// nextVersion returns the version of the next write to a row.
func (e *Embedded) nextVersion(current Version) Version {
	if first := Version(e.era.Load() << eraShift); current < first {
		current = first
	}
	return current + 1
}

// Restore replaces all data by that of a backup of the given age, at most MaxLag: what was
// written since is lost.
func (e *Embedded) Restore(age time.Duration) {
	at := time.Now().Add(-min(age, MaxLag))
	e.era.Add(1)
	for i := range e.shards {
		e.shards[i].restore(at)
	}
}

// restore drops everything that was written after a time.
func (s *embeddedShard) restore(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, versions := range s.rows {
		s.rows[k] = slices.DeleteFunc(versions, func(v rowVersion) bool { return v.at.After(at) })
	}
	for k, o := range s.objects {
		if o.at.After(at) {
			delete(s.objects, k)
		}
	}
	for k, announcements := range s.vms {
		s.vms[k] = slices.DeleteFunc(announcements, func(a announcement) bool { return a.at.After(at) })
	}
}

// versionAt returns the version that was current at a time, and whether there was one.
func versionAt(versions []rowVersion, at time.Time) (rowVersion, bool) {
	for _, v := range slices.Backward(versions) {
		if !v.at.After(at) {
			return v, true
		}
	}
	return rowVersion{}, false
}

func cloneRow(r Row) Row {
	r.Value = slices.Clone(r.Value)
	return r
}

// SwapRow answers RowWritten, Conflict, or Unavailable for an invalid key or a value that
// is too large.
func (e *Embedded) SwapRow(_ context.Context, key string, expected Version, value []byte) Answer {
	if err := checkRow(key, value); err != nil {
		return Unavailable{Err: err}
	}
	s := e.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := s.rows[key]
	var current Version
	if len(versions) > 0 {
		current = versions[len(versions)-1].row.Version
	}
	if current != expected {
		return Conflict{}
	}
	now := time.Now()
	written := Row{Key: key, Version: e.nextVersion(current), Value: slices.Clone(value)}
	s.rows[key] = append(pruneVersions(versions, now.Add(-MaxLag)), rowVersion{row: written, at: now})
	return RowWritten{Version: written.Version}
}

// pruneVersions drops the versions that were replaced before a time, which no lagging
// read can return any more.
func pruneVersions(versions []rowVersion, before time.Time) []rowVersion {
	first := 0
	for first+1 < len(versions) && versions[first+1].at.Before(before) {
		first++
	}
	return slices.Clone(versions[first:])
}

// ListRows answers RowsListed.
func (e *Embedded) ListRows(_ context.Context, prefix string) Answer { return e.listRows(prefix, 0) }

func (e *Embedded) listRows(prefix string, lag time.Duration) Answer {
	at := time.Now().Add(-lag)
	var rows []Row
	for i := range e.shards {
		rows = append(rows, e.shards[i].listRows(prefix, at)...)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return RowsListed{Rows: rows}
}

func (s *embeddedShard) listRows(prefix string, at time.Time) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []Row
	for k, versions := range s.rows {
		if !strings.HasPrefix(k, prefix) {
			continue
		}
		if v, ok := versionAt(versions, at); ok {
			rows = append(rows, cloneRow(v.row))
		}
	}
	return rows
}

// PutObject answers ObjectWritten, or Unavailable for an invalid name or an object that is
// too large.
func (e *Embedded) PutObject(_ context.Context, name string, data []byte) Answer {
	if err := checkObject(name, data); err != nil {
		return Unavailable{Err: err}
	}
	s := e.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; !ok {
		s.objects[name] = object{data: slices.Clone(data), at: time.Now()}
	}
	return ObjectWritten{}
}

// GetObject answers ObjectRead or NotFound, or Unavailable for an invalid name.
func (e *Embedded) GetObject(_ context.Context, name string) Answer {
	if err := checkName(name); err != nil {
		return Unavailable{Err: err}
	}
	s := e.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return NotFound{Era: Era(e.era.Load())}
	}
	return ObjectRead{Data: slices.Clone(o.data)}
}

// AnnounceVM answers VMAnnounced.
func (e *Embedded) AnnounceVM(_ context.Context, vm ListedVM) Answer {
	s := e.shard(string(vm.Name))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	kept := slices.DeleteFunc(slices.Clone(s.vms[vm.Name]), func(a announcement) bool {
		return a.at.Before(now.Add(-MaxLag - announcementTTL))
	})
	s.vms[vm.Name] = append(kept, announcement{vm: vm, at: now})
	return VMAnnounced{}
}

// ListVMs answers VMsListed.
func (e *Embedded) ListVMs(_ context.Context) Answer { return e.listVMs(0) }

func (e *Embedded) listVMs(lag time.Duration) Answer {
	at := time.Now().Add(-lag)
	var vms []ListedVM
	for i := range e.shards {
		vms = append(vms, e.shards[i].listVMs(at)...)
	}
	slices.SortFunc(vms, func(a, b ListedVM) int { return cmp.Compare(a.Name, b.Name) })
	return VMsListed{VMs: vms}
}

func (s *embeddedShard) listVMs(at time.Time) []ListedVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var vms []ListedVM
	for _, announcements := range s.vms {
		for _, a := range slices.Backward(announcements) {
			if a.at.After(at) {
				continue
			}
			if a.at.After(at.Add(-announcementTTL)) {
				vms = append(vms, a.vm)
			}
			break
		}
	}
	return vms
}

func checkName(name string) error {
	if name == "" || len(name) > MaxNameLength {
		return daisyerror.InvalidRequest.New("name %q has to be 1 to %d bytes long", name, MaxNameLength)
	}
	return nil
}

func checkRow(key string, value []byte) error {
	if len(value) > MaxValueSize {
		return daisyerror.InvalidRequest.New("row %q has %d bytes, more than %d", key, len(value), MaxValueSize)
	}
	return checkName(key)
}

func checkObject(name string, data []byte) error {
	if len(data) > MaxObjectSize {
		return daisyerror.InvalidRequest.New("object %q has %d bytes, more than %d", name, len(data), MaxObjectSize)
	}
	return checkName(name)
}
