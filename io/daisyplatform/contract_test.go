package daisyplatform_test

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/io/daisyplatform"
)

// pipeListener is a listener that connects an HTTP client and a server without a network. The
// virtual time of synctest stands still while a goroutine waits for a network connection.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.accepted <- server:
		return client, nil
	case <-p.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
}

// serve starts a server for the platform and returns a client of it.
func serve(t *testing.T, platform daisyplatform.Platform) daisyplatform.Platform {
	t.Helper()
	p := newPipeListener()
	server := &http.Server{Handler: daisyplatform.NewHandler(platform), ErrorLog: log.New(&bytes.Buffer{}, "", 0)}
	go func() { _ = server.Serve(p) }()
	transport := &http.Transport{DialContext: p.dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return daisyplatform.NewClient(url.URL{Scheme: "http", Host: "platform"}, transport)
}

// implementation is an implementation of Platform that is tested with injected faults.
type implementation struct {
	name        string
	newPlatform func(t *testing.T, faulty *daisyplatform.Faulty, embedded *daisyplatform.Embedded) daisyplatform.Platform
	// retries is set if operations that were not carried out are retried.
	retries bool
}

var implementations = []implementation{
	{name: "faulty", newPlatform: func(_ *testing.T, f *daisyplatform.Faulty, _ *daisyplatform.Embedded) daisyplatform.Platform {
		return f
	}},
	{name: "http", newPlatform: func(t *testing.T, f *daisyplatform.Faulty, _ *daisyplatform.Embedded) daisyplatform.Platform {
		t.Helper()
		return serve(t, f)
	}, retries: true},
	{name: "metered", newPlatform: func(_ *testing.T, f *daisyplatform.Faulty, _ *daisyplatform.Embedded) daisyplatform.Platform {
		return daisyplatform.NewMetered(f, noopMeter{})
	}},
}

type noopMeter struct{}

func (noopMeter) PlatformOperation(string, string) {}

// countingMeter counts by operation and answer, separated by a space.
type countingMeter map[string]int

func (m countingMeter) PlatformOperation(operation, answer string) { m[operation+" "+answer]++ }

func TestMeteredCountsOperations(t *testing.T) {
	m := countingMeter{}
	p := daisyplatform.NewMetered(daisyplatform.NewEmbedded(), m)
	p.GetRow(t.Context(), "row")
	p.SwapRow(t.Context(), "row", 0, nil)
	p.SwapRow(t.Context(), "row", 0, nil)
	assert.DeepEqual(t, m, countingMeter{"get-row not-found": 1, "swap-row written": 1, "swap-row conflict": 1})
}

// embedded is tested only where no faults are injected.
var embedded = implementation{name: "embedded", newPlatform: func(_ *testing.T, _ *daisyplatform.Faulty, e *daisyplatform.Embedded) daisyplatform.Platform {
	return e
}}

// forEach runs a test in virtual time, with a new platform for each implementation.
func forEach(t *testing.T, all []implementation, test func(t *testing.T, i implementation, p daisyplatform.Platform, f *daisyplatform.Faulty)) {
	t.Helper()
	for _, i := range all {
		t.Run(i.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := daisyplatform.NewEmbedded()
				f := daisyplatform.NewFaulty(inner, 1)
				test(t, i, i.newPlatform(t, f, inner), f)
			})
		})
	}
}

// wantAnswer checks that an answer is of one of the kinds, named as by AnswerName.
func wantAnswer(t *testing.T, got daisyplatform.Answer, kinds ...string) {
	t.Helper()
	for _, k := range kinds {
		if daisyplatform.AnswerName(got) == k {
			return
		}
	}
	t.Errorf("got %s %+v, want one of %v", daisyplatform.AnswerName(got), got, kinds)
}

func TestTableContract(t *testing.T) {
	forEach(t, append(implementations, embedded), func(t *testing.T, _ implementation, p daisyplatform.Platform, _ *daisyplatform.Faulty) {
		ctx := t.Context()
		for _, key := range []string{"head", "plan/20261204-074941-1f3c9a", "ä ?&=%/../x#"} {
			wantAnswer(t, p.GetRow(ctx, key), "not-found")
			wantAnswer(t, p.SwapRow(ctx, key, 1, []byte("x")), "conflict")
			assert.DeepEqual(t, p.SwapRow(ctx, key, 0, []byte("a")), daisyplatform.Answer(daisyplatform.RowWritten{Version: 1}))
			wantAnswer(t, p.SwapRow(ctx, key, 0, []byte("b")), "conflict")
			assert.DeepEqual(t, p.SwapRow(ctx, key, 1, nil), daisyplatform.Answer(daisyplatform.RowWritten{Version: 2}))
			wantAnswer(t, p.SwapRow(ctx, key, 1, []byte("c")), "conflict")
			row := p.GetRow(ctx, key).(daisyplatform.RowRead).Row
			assert.Equal(t, row.Version, daisyplatform.Version(2))
			assert.Equal(t, len(row.Value), 0)
		}
		wantAnswer(t, p.SwapRow(ctx, "large", 0, make([]byte, daisyplatform.MaxValueSize+1)), "unavailable")
		wantAnswer(t, p.SwapRow(ctx, "", 0, nil), "unavailable")
		wantAnswer(t, p.GetRow(ctx, "large"), "not-found")
		wantAnswer(t, p.SwapRow(ctx, "large", 0, make([]byte, daisyplatform.MaxValueSize)), "written")
	})
}

func TestListContract(t *testing.T) {
	forEach(t, append(implementations, embedded), func(t *testing.T, _ implementation, p daisyplatform.Platform, _ *daisyplatform.Faulty) {
		ctx := t.Context()
		assert.Equal(t, len(p.ListRows(ctx, "plan/").(daisyplatform.RowsListed).Rows), 0)
		for i := range 30 {
			wantAnswer(t, p.SwapRow(ctx, fmt.Sprintf("plan/%02d", 29-i), 0, []byte{byte(29 - i)}), "written")
		}
		wantAnswer(t, p.SwapRow(ctx, "plan", 0, nil), "written")
		rows := p.ListRows(ctx, "plan/").(daisyplatform.RowsListed).Rows
		assert.Equal(t, len(rows), 30)
		for i, r := range rows {
			assert.DeepEqual(t, r, daisyplatform.Row{Key: fmt.Sprintf("plan/%02d", i), Version: 1, Value: []byte{byte(i)}})
		}
	})
}

func TestObjectContract(t *testing.T) {
	forEach(t, append(implementations, embedded), func(t *testing.T, _ implementation, p daisyplatform.Platform, _ *daisyplatform.Faulty) {
		ctx := t.Context()
		wantAnswer(t, p.GetObject(ctx, "snapshot/ab"), "not-found")
		wantAnswer(t, p.PutObject(ctx, "snapshot/ab", []byte("first")), "written")
		wantAnswer(t, p.PutObject(ctx, "snapshot/ab", []byte("other")), "written")
		assert.Equal(t, string(p.GetObject(ctx, "snapshot/ab").(daisyplatform.ObjectRead).Data), "first")
		large := bytes.Repeat([]byte{7}, daisyplatform.MaxObjectSize)
		wantAnswer(t, p.PutObject(ctx, "large", append(large, 7)), "unavailable")
		wantAnswer(t, p.PutObject(ctx, "large", large), "written")
		assert.Assert(t, bytes.Equal(p.GetObject(ctx, "large").(daisyplatform.ObjectRead).Data, large))
	})
}

func TestVMsContract(t *testing.T) {
	forEach(t, append(implementations, embedded), func(t *testing.T, _ implementation, p daisyplatform.Platform, _ *daisyplatform.Faulty) {
		ctx := t.Context()
		a := daisyplatform.ListedVM{
			Name:  "vm-1",
			Zone:  daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "lisboa-1"},
			Peers: netip.MustParseAddrPort("127.0.0.1:7001"),
		}
		b := daisyplatform.ListedVM{Name: "vm-2", Peers: netip.MustParseAddrPort("[::1]:7001"), Leaving: true}
		wantAnswer(t, p.AnnounceVM(ctx, b), "written")
		time.Sleep(20 * time.Second)
		wantAnswer(t, p.AnnounceVM(ctx, a), "written")
		assert.DeepEqual(t, p.ListVMs(ctx).(daisyplatform.VMsListed).VMs, []daisyplatform.ListedVM{a, b}, compareAddresses)
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, p.ListVMs(ctx).(daisyplatform.VMsListed).VMs, []daisyplatform.ListedVM{a}, compareAddresses)
	})
}

func TestOnlyOneConcurrentSwapSucceeds(t *testing.T) {
	forEach(t, append(implementations, embedded), func(t *testing.T, _ implementation, p daisyplatform.Platform, _ *daisyplatform.Faulty) {
		answers := make(chan daisyplatform.Answer)
		for i := range 20 {
			go func() { answers <- p.SwapRow(t.Context(), "head", 0, []byte{byte(i)}) }()
		}
		kinds := map[string]int{}
		for range 20 {
			kinds[daisyplatform.AnswerName(<-answers)]++
		}
		assert.DeepEqual(t, kinds, map[string]int{"written": 1, "conflict": 19})
	})
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults []daisyplatform.Fault
		// read, swap, put and announce are the kinds of answers that are allowed.
		read, swap, put, announce []string
		// written is whether the swap takes effect: "yes", "no" or "maybe".
		written string
	}{
		{name: "none", read: []string{"read"}, swap: []string{"written"}, put: []string{"written"}, announce: []string{"written"}, written: "yes"},
		{name: "down", faults: []daisyplatform.Fault{daisyplatform.Down{}},
			read: []string{"unavailable"}, swap: []string{"unavailable"}, put: []string{"unavailable"}, announce: []string{"unavailable"}, written: "no"},
		{name: "slow", faults: []daisyplatform.Fault{daisyplatform.Slow{Delay: time.Second}},
			read: []string{"read"}, swap: []string{"written"}, put: []string{"written"}, announce: []string{"written"}, written: "yes"},
		{name: "slower than the timeout", faults: []daisyplatform.Fault{daisyplatform.Slow{Delay: time.Minute}},
			read: []string{"unavailable"}, swap: []string{"unknown"}, put: []string{"unknown"}, announce: []string{"unknown"}, written: "maybe"},
		{name: "lagging", faults: []daisyplatform.Fault{daisyplatform.Lagging{By: 10 * time.Second}},
			read: []string{"not-found"}, swap: []string{"written"}, put: []string{"written"}, announce: []string{"written"}, written: "yes"},
		{name: "lost replies", faults: []daisyplatform.Fault{daisyplatform.LostReplies{Share: 1}},
			read: []string{"read"}, swap: []string{"unknown"}, put: []string{"unknown"}, announce: []string{"unknown"}, written: "yes"},
		{name: "slow and lost replies", faults: []daisyplatform.Fault{daisyplatform.Slow{Delay: time.Second}, daisyplatform.LostReplies{Share: 1}},
			read: []string{"read"}, swap: []string{"unknown"}, put: []string{"unknown"}, announce: []string{"unknown"}, written: "yes"},
		{name: "throttled to almost no operations", faults: []daisyplatform.Fault{daisyplatform.Throttled{PerSecond: 1e-9}},
			read: []string{"read", "unavailable"}, swap: []string{"unavailable"}, put: []string{"unavailable"}, announce: []string{"unavailable"}, written: "no"},
		{name: "lagging and down", faults: []daisyplatform.Fault{daisyplatform.Lagging{By: time.Second}, daisyplatform.Down{}},
			read: []string{"unavailable"}, swap: []string{"unavailable"}, put: []string{"unavailable"}, announce: []string{"unavailable"}, written: "no"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEach(t, implementations, func(t *testing.T, _ implementation, p daisyplatform.Platform, f *daisyplatform.Faulty) {
				ctx := t.Context()
				wantAnswer(t, p.SwapRow(ctx, "row", 0, []byte("before")), "written")
				time.Sleep(time.Second)
				f.SetFaults(c.faults...)
				assert.DeepEqual(t, len(f.Faults()), len(c.faults))
				readCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
				defer cancel()
				wantAnswer(t, p.GetRow(readCtx, "row"), c.read...)
				wantAnswer(t, withTimeout(ctx, func(ctx context.Context) daisyplatform.Answer {
					return p.SwapRow(ctx, "row", 1, []byte("after"))
				}), c.swap...)
				wantAnswer(t, withTimeout(ctx, func(ctx context.Context) daisyplatform.Answer { return p.PutObject(ctx, "object", []byte("data")) }), c.put...)
				wantAnswer(t, withTimeout(ctx, func(ctx context.Context) daisyplatform.Answer {
					return p.AnnounceVM(ctx, daisyplatform.ListedVM{Name: "vm-1", Peers: netip.MustParseAddrPort("127.0.0.1:7001")})
				}), c.announce...)
				synctest.Wait()
				f.SetFaults()
				row := p.GetRow(ctx, "row").(daisyplatform.RowRead).Row
				tookEffect := map[bool]string{true: "yes", false: "no"}[row.Version == 2]
				assert.Assert(t, c.written == "maybe" || c.written == tookEffect, "version %d", row.Version)
			})
		})
	}
}

// withTimeout carries out an operation with a timeout of 5 s.
func withTimeout(ctx context.Context, operation func(context.Context) daisyplatform.Answer) daisyplatform.Answer {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return operation(ctx)
}

func TestLaggingReads(t *testing.T) {
	forEach(t, implementations, func(t *testing.T, _ implementation, p daisyplatform.Platform, f *daisyplatform.Faulty) {
		ctx := t.Context()
		for i := range 5 {
			wantAnswer(t, p.SwapRow(ctx, "row", daisyplatform.Version(i), []byte{byte(i)}), "written")
			time.Sleep(10 * time.Second)
		}
		vm := daisyplatform.ListedVM{Name: "vm-1", Peers: netip.MustParseAddrPort("127.0.0.1:7001")}
		wantAnswer(t, p.AnnounceVM(ctx, vm), "written")
		f.SetFaults(daisyplatform.Lagging{By: 15 * time.Second}, daisyplatform.LaggingVMs{By: 20 * time.Second})
		assert.Equal(t, p.GetRow(ctx, "row").(daisyplatform.RowRead).Row.Version, daisyplatform.Version(4))
		assert.Equal(t, p.ListRows(ctx, "").(daisyplatform.RowsListed).Rows[0].Version, daisyplatform.Version(4))
		assert.Equal(t, len(p.ListVMs(ctx).(daisyplatform.VMsListed).VMs), 0)
		wantAnswer(t, p.SwapRow(ctx, "row", 4, nil), "conflict")
		wantAnswer(t, p.SwapRow(ctx, "row", 5, nil), "written")
		time.Sleep(20 * time.Second)
		assert.Equal(t, p.GetRow(ctx, "row").(daisyplatform.RowRead).Row.Version, daisyplatform.Version(6))
		assert.Equal(t, len(p.ListVMs(ctx).(daisyplatform.VMsListed).VMs), 1)
	})
}

func TestThrottling(t *testing.T) {
	forEach(t, implementations, func(t *testing.T, i implementation, p daisyplatform.Platform, f *daisyplatform.Faulty) {
		ctx := t.Context()
		// The delays between the client's attempts are random. At two operations a second,
		// each operation has an attempt that is not throttled, whatever the delays are.
		f.SetFaults(daisyplatform.Throttled{PerSecond: 2})
		version := daisyplatform.Version(0)
		refused := 0
		for range 5 {
			switch a := p.SwapRow(ctx, "row", version, nil).(type) {
			case daisyplatform.RowWritten:
				version = a.Version
			case daisyplatform.Unavailable:
				refused++
			default:
				t.Errorf("unexpected answer %s", daisyplatform.AnswerName(a))
			}
		}
		f.SetFaults()
		assert.Equal(t, p.GetRow(ctx, "row").(daisyplatform.RowRead).Row.Version, version)
		if i.retries {
			assert.Equal(t, version, daisyplatform.Version(5), "the client retries until the platform accepts the write")
		} else {
			assert.Equal(t, refused, 3, "two of the five writes are allowed at once")
		}
	})
}

func TestClientLimitsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := serve(t, daisyplatform.NewEmbedded())
		start := time.Now()
		for range 140 {
			wantAnswer(t, p.GetRow(t.Context(), "row"), "not-found")
		}
		assert.Equal(t, time.Since(start).Round(time.Millisecond), 5*time.Second, "40 requests at once, then 20 a second")
	})
}

func TestClientRejectsResponseWithoutPlatformHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeListener()
		server := &http.Server{Handler: http.NotFoundHandler()}
		go func() { _ = server.Serve(p) }()
		transport := &http.Transport{DialContext: p.dial}
		defer func() {
			transport.CloseIdleConnections()
			_ = server.Close()
		}()
		c := daisyplatform.NewClient(url.URL{Scheme: "http", Host: "elsewhere"}, transport)
		wantAnswer(t, c.GetRow(t.Context(), "head"), "unavailable")
		wantAnswer(t, c.GetObject(t.Context(), "snapshot/ab"), "unavailable")
	})
}

// compareAddresses compares netip.AddrPort, which has unexported fields.
var compareAddresses = cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })

func TestNumberOfAttemptsWhilePlatformIsDown(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			faulty := daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), uint64(seed))
			faulty.SetFaults(daisyplatform.Down{})
			m := countingMeter{}
			wantAnswer(t, serve(t, daisyplatform.NewMetered(faulty, m)).GetRow(t.Context(), "head"), "unavailable")
			attempts := m["get-row unavailable"]
			assert.Assert(t, attempts >= 2 && attempts <= 6, "%d attempts", attempts)
			t.Logf("%d attempts", attempts)
		})
	}
}
