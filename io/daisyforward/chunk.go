package daisyforward

import "sync"

const (
	// chunkSize is how much of a body is read at a time, in bytes.
	chunkSize = 32 << 10
	// smallSize is the same for a body that is known to be no longer.
	smallSize = 4 << 10
)

// chunk is a piece of memory for a body on its way.
type chunk struct{ bytes []byte }

var (
	chunks      = sync.Pool{New: func() any { return &chunk{bytes: make([]byte, chunkSize)} }}
	smallChunks = sync.Pool{New: func() any { return &chunk{bytes: make([]byte, smallSize)} }}
)

// getChunk gives a chunk for a body of this length; a negative one is unknown.
func getChunk(length int64) *chunk {
	if length >= 0 && length <= smallSize {
		return smallChunks.Get().(*chunk)
	}
	return chunks.Get().(*chunk)
}

func putChunk(c *chunk) {
	if len(c.bytes) == smallSize {
		smallChunks.Put(c)
		return
	}
	chunks.Put(c)
}
