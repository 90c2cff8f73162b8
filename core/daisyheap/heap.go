// Package daisyheap implements a priority queue by time that can remove any value in logarithmic time.
package daisyheap

import "time"

// NotInHeap is the index of a value that is in no heap.
const NotInHeap = -1

// Order is the order of a heap.
type Order int

const (
	// Earliest puts the earliest time first.
	Earliest Order = iota
	// Latest puts the latest time first.
	Latest
)

// Heap is a binary heap of values by time. The order of values of the same time is
// unspecified but deterministic.
type Heap[T any] struct {
	order   Order
	entries []entry[T]
	// origin is the first time that was pushed; times are compared by their distance from it.
	origin time.Time
}

type entry[T any] struct {
	key   time.Duration
	at    time.Time
	value T
	// index points to where the owner of the value keeps its position.
	index *int
}

// New returns an empty heap.
func New[T any](order Order) *Heap[T] { return &Heap[T]{order: order} }

// Len returns the number of values.
func (h *Heap[T]) Len() int { return len(h.entries) }

// First returns the first value and its time; ok is false when the heap is empty.
func (h *Heap[T]) First() (at time.Time, value T, ok bool) {
	if len(h.entries) == 0 {
		return at, value, false
	}
	return h.entries[0].at, h.entries[0].value, true
}

// Push adds a value. The heap keeps *index up to date with the position of the value, and
// sets it to NotInHeap when the value is removed.
func (h *Heap[T]) Push(at time.Time, value T, index *int) {
	if h.origin.IsZero() {
		h.origin = at
	}
	key := at.Sub(h.origin)
	if h.order == Latest {
		key = -key
	}
	h.entries = append(h.entries, entry[T]{key: key, at: at, value: value, index: index})
	h.up(len(h.entries) - 1)
}

// Remove removes the value at an index. It does nothing if the index is NotInHeap.
func (h *Heap[T]) Remove(index int) {
	if index == NotInHeap {
		return
	}
	*h.entries[index].index = NotInHeap
	last := len(h.entries) - 1
	moved := h.entries[last]
	h.entries[last] = entry[T]{}
	h.entries = h.entries[:last]
	if index == last {
		return
	}
	h.entries[index] = moved
	if index > 0 && moved.key < h.entries[(index-1)/2].key {
		h.up(index)
		return
	}
	h.down(index)
}

func (h *Heap[T]) up(i int) {
	moved := h.entries[i]
	for i > 0 {
		parent := (i - 1) / 2
		if h.entries[parent].key <= moved.key {
			break
		}
		h.set(i, h.entries[parent])
		i = parent
	}
	h.set(i, moved)
}

func (h *Heap[T]) down(i int) {
	moved := h.entries[i]
	for {
		child := 2*i + 1
		if child >= len(h.entries) {
			break
		}
		if child+1 < len(h.entries) && h.entries[child+1].key < h.entries[child].key {
			child++
		}
		if moved.key <= h.entries[child].key {
			break
		}
		h.set(i, h.entries[child])
		i = child
	}
	h.set(i, moved)
}

func (h *Heap[T]) set(i int, e entry[T]) {
	h.entries[i] = e
	*e.index = i
}
