// Package daisyheap orders values by time, with removal of any of them in logarithmic time.
package daisyheap

import "time"

// Outside is the place of a value that is in no heap.
const Outside = -1

// Order says which value of a heap comes first.
type Order int

const (
	// Earliest puts the earliest time first.
	Earliest Order = iota
	// Latest puts the latest time first.
	Latest
)

// Heap is a binary heap of values by time. Values of the same time come in no
// particular, but always the same, order.
type Heap[T any] struct {
	order   Order
	entries []entry[T]
	// began is the first time that was pushed; times are compared by their distance to it.
	began time.Time
}

type entry[T any] struct {
	key   time.Duration
	at    time.Time
	value T
	// place is where the value keeps its index.
	place *int
}

// New gives an empty heap.
func New[T any](order Order) *Heap[T] { return &Heap[T]{order: order} }

// Len gives the number of values.
func (h *Heap[T]) Len() int { return len(h.entries) }

// First gives the first value and its time; ok is false when the heap is empty.
func (h *Heap[T]) First() (at time.Time, value T, ok bool) {
	if len(h.entries) == 0 {
		return at, value, false
	}
	return h.entries[0].at, h.entries[0].value, true
}

// Push adds a value. The heap keeps the value's place up to date in place, and
// sets it to Outside when the value leaves.
func (h *Heap[T]) Push(at time.Time, value T, place *int) {
	if h.began.IsZero() {
		h.began = at
	}
	key := at.Sub(h.began)
	if h.order == Latest {
		key = -key
	}
	h.entries = append(h.entries, entry[T]{key: key, at: at, value: value, place: place})
	h.up(len(h.entries) - 1)
}

// Remove takes out the value at a place; Outside does nothing.
func (h *Heap[T]) Remove(place int) {
	if place == Outside {
		return
	}
	*h.entries[place].place = Outside
	last := len(h.entries) - 1
	moved := h.entries[last]
	h.entries[last] = entry[T]{}
	h.entries = h.entries[:last]
	if place == last {
		return
	}
	h.entries[place] = moved
	if place > 0 && moved.key < h.entries[(place-1)/2].key {
		h.up(place)
		return
	}
	h.down(place)
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
	*e.place = i
}
