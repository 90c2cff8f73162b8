package daisyheap_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyheap"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type timed struct {
	at    time.Time
	index int
}

func TestHeapKeepsOrderUnderRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		order := rapid.SampledFrom([]daisyheap.Order{daisyheap.Earliest, daisyheap.Latest}).Draw(t, "order")
		h := daisyheap.New[*timed](order)
		var all []*timed
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(all) > 0 && rapid.IntRange(0, 2).Draw(t, "remove") == 0 {
				i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
				h.Remove(all[i].index)
				assert.Equal(t, all[i].index, daisyheap.NotInHeap)
				all = slices.Delete(all, i, i+1)
			} else {
				v := &timed{at: start.Add(time.Duration(rapid.IntRange(-50, 50).Draw(t, "at")) * time.Millisecond)}
				h.Push(v.at, v, &v.index)
				all = append(all, v)
			}
			check(t, h, order, all)
		}
	})
}

func check(t *rapid.T, h *daisyheap.Heap[*timed], order daisyheap.Order, all []*timed) {
	assert.Equal(t, h.Len(), len(all))
	at, first, ok := h.First()
	assert.Equal(t, ok, len(all) > 0)
	for _, v := range all {
		if order == daisyheap.Latest {
			assert.Assert(t, !v.at.After(at))
			continue
		}
		assert.Assert(t, !v.at.Before(at))
	}
	assert.Assert(t, !ok || first.at.Equal(at) && first.index == 0)
}

func ExampleHeap() {
	h := daisyheap.New[string](daisyheap.Earliest)
	var late, early int
	h.Push(start.Add(time.Minute), "late", &late)
	h.Push(start, "early", &early)
	h.Remove(early)
	_, first, _ := h.First()
	fmt.Println(first, early == daisyheap.NotInHeap)
	// Output: late true
}
