package daisydaemon

import (
	"runtime"
	"runtime/metrics"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a heap that grows to a multiple of what hundreds of links keep in use.
func TestHeapGrowthIsBounded(t *testing.T) {
	const mb = 1 << 20
	for live, percent := range map[uint64]int{0: 400, 4 * mb: 400, 6 * mb: 400, 12 * mb: 200, 24 * mb: 100, 40 * mb: 60, 400 * mb: 50} {
		assert.Equal(t, gcPercentFor(live), percent, "%d MB", live/mb)
	}
}

func TestGCPercentFollowsTheLiveHeap(t *testing.T) {
	t.Setenv("GOGC", "")
	SetGCPercent()
	kept := make([]byte, 200<<20)
	for range 100 {
		runtime.GC()
		sample := []metrics.Sample{{Name: "/gc/gogc:percent"}}
		metrics.Read(sample)
		if sample[0].Value.Uint64() == minGCPercent {
			runtime.KeepAlive(kept)
			return
		}
		runtime.Gosched()
	}
	t.Fatal("the target percentage did not follow a live heap of 200 MB")
}
