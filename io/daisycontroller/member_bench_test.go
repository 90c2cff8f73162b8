package daisycontroller_test

import (
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisypeer"
)

// memberReceiver is a receiver that passes all messages to a Member controller.
type memberReceiver struct {
	ready  chan struct{}
	member *daisycontroller.Member
}

func (m *memberReceiver) LinkOpened(vm daisyvm.VM) {
	<-m.ready
	m.member.LinkOpened(vm)
}

func (m *memberReceiver) Receive(from daisyvm.Name, message daisymessage.Message) {
	<-m.ready
	m.member.Receive(from, message)
}

type benchVM struct {
	links  *daisypeer.Links
	member *daisycontroller.Member
}

func startBenchVM(b *testing.B, i int, seed daisyvm.VM) (*benchVM, daisyvm.VM) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	vm := memberVM(i)
	vm.Zone.Fleet, vm.Zone.Zone = "vigia-lar", fmt.Sprintf("lisboa-%d", i%4)
	vm.Peers = listener.Addr().(*net.TCPAddr).AddrPort()
	inbox := &memberReceiver{ready: make(chan struct{})}
	links := daisypeer.NewLinks(daisypeer.Options{Self: vm, Listener: listener, Dialer: daisypeer.TCPDialer{}, Receiver: inbox, Seed: uint64(i)})
	inbox.member = daisycontroller.NewMember(daisycontroller.MemberOptions{Self: vm, Linker: links, Seed: uint64(i)})
	close(inbox.ready)
	inbox.member.SetInForce(9, "b5bb9d8014a0f9b1d61e21e796d78dccdf1352f23cd32812f4850b878ae4944c")
	inbox.member.SetReady(true)
	if seed.Name != "" {
		links.ConnectSeed(seed.Peers)
	}
	return &benchVM{links: links, member: inbox.member}, vm
}

func (v *benchVM) liveCount() int {
	live := 0
	for _, m := range v.member.Table().Others {
		if m.State == daisyvm.Live && !m.DirectAt.IsZero() {
			live++
		}
	}
	return live
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeats runs idle VMs over loopback in one process and reports metrics per VM.
func BenchmarkHeartbeats(b *testing.B) {
	const duration = 10 * time.Second
	for _, size := range []int{2, 6, 7, 12, 24, 40, 60} {
		b.Run(fmt.Sprintf("vms-%d", size), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				vms, first := []*benchVM{}, daisyvm.VM{}
				for i := range size {
					v, vm := startBenchVM(b, i+1, first)
					if i == 0 {
						first = vm
					}
					vms = append(vms, v)
				}
				for _, v := range vms {
					for v.liveCount() < size-1 {
						<-v.member.Table().Replaced
					}
				}
				time.Sleep(5 * time.Second)
				runtime.GC()
				runtime.ReadMemStats(&after)
				goroutines := runtime.NumGoroutine()
				counted, used := totals(vms), cpuTime(b)
				time.Sleep(duration)
				report(b, size, duration, counted, totals(vms), cpuTime(b)-used)
				b.ReportMetric(float64(after.HeapInuse+after.StackInuse-before.HeapInuse-before.StackInuse)/1024/float64(size), "KiB/VM")
				b.ReportMetric(float64(goroutines)/float64(size), "goroutines/VM")
				for _, v := range vms {
					v.links.Close()
					v.member.Close()
				}
			}
		})
	}
}

func totals(vms []*benchVM) daisypeer.Counts {
	var sum daisypeer.Counts
	for _, v := range vms {
		c := v.links.Counts()
		sum.Sent += c.Sent
		sum.Batches += c.Batches
		sum.BytesSent += c.BytesSent
		sum.BytesReceived += c.BytesReceived
	}
	return sum
}

func report(b *testing.B, size int, duration time.Duration, before, after daisypeer.Counts, used time.Duration) {
	perVMSecond := func(total uint64) float64 { return float64(total) / float64(size) / duration.Seconds() }
	b.ReportMetric(perVMSecond(after.Sent-before.Sent), "messages/s")
	b.ReportMetric(perVMSecond(after.Batches-before.Batches), "writes/s")
	b.ReportMetric(perVMSecond(after.BytesSent-before.BytesSent), "B-sent/s")
	b.ReportMetric(perVMSecond(after.BytesReceived-before.BytesReceived), "B-received/s")
	b.ReportMetric(100*used.Seconds()/duration.Seconds()/float64(size), "%-core")
	b.ReportMetric(0, "ns/op")
}
