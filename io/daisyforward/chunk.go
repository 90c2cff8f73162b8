package daisyforward

import "sync"

const (
	// chunkSize is the size of the buffer for one read of a body, in bytes.
	chunkSize = 32 << 10
	// smallChunkSize is the size for a body that is known to fit into it, in bytes.
	smallChunkSize = 4 << 10
)

// chunk is a pooled buffer for copying a body.
type chunk struct{ bytes []byte }

var (
	chunks      = sync.Pool{New: func() any { return &chunk{bytes: make([]byte, chunkSize)} }}
	smallChunks = sync.Pool{New: func() any { return &chunk{bytes: make([]byte, smallChunkSize)} }}
)

// getChunk returns a chunk from the pool for a body of the given length. A negative
// length means that it is unknown.
func getChunk(length int64) *chunk {
	if length >= 0 && length <= smallChunkSize {
		return smallChunks.Get().(*chunk)
	}
	return chunks.Get().(*chunk)
}

// putChunk returns a chunk to its pool.
func putChunk(c *chunk) {
	if len(c.bytes) == smallChunkSize {
		smallChunks.Put(c)
		return
	}
	chunks.Put(c)
}
