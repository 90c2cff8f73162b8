package daisypeer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/io/daisywire"
)

const (
	// minCompressBytes is the total size of values in bytes from which rows are compressed.
	// Rows that fit in one TCP segment gain nothing from compression.
	minCompressBytes = 1400
	// maxDecompressedBytes is the maximum size of decompressed rows, in bytes. It equals the
	// frame limit, so that compression does not allow more data than a frame without it.
	maxDecompressedBytes = maxBulkFrame
)

// rowCompressor compresses rows and caches the latest result, so that the same rows are
// compressed once for all peers. It is safe for concurrent use.
type rowCompressor struct {
	mu sync.Mutex
	// firstRow and rowCount identify the rows whose compressed form is cached. This is safe
	// because rows are not modified after they have been passed to compress.
	firstRow   *daisyfeed.Row
	rowCount   int
	compressed []byte
}

// compress returns the rows in compressed form, or nil if they are to be sent uncompressed.
func (c *rowCompressor) compress(rows []daisyfeed.Row) []byte {
	size := 0
	for _, r := range rows {
		size += len(r.Value)
	}
	if size < minCompressBytes {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstRow == &rows[0] && c.rowCount == len(rows) {
		return c.compressed
	}
	packed, err := compressRows(rows)
	if err != nil {
		// Not reached: encoding and compressing in memory do not fail.
		return nil
	}
	c.firstRow, c.rowCount, c.compressed = &rows[0], len(rows), packed
	return packed
}

func compressRows(rows []daisyfeed.Row) ([]byte, error) {
	plain, err := proto.Marshal(&daisywire.Rows{Rows: encodeRows(rows)})
	if err != nil {
		return nil, Malformed.Wrap(err, "rows")
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, Malformed.Wrap(err, "compressor")
	}
	if _, err := z.Write(plain); err != nil {
		return nil, Malformed.Wrap(err, "cannot compress rows")
	}
	if err := z.Close(); err != nil {
		return nil, Malformed.Wrap(err, "cannot compress rows")
	}
	return b.Bytes(), nil
}

// decompressRows decompresses and decodes rows.
func (r *fieldReader) decompressRows(packed []byte) []*daisywire.Row {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedBytes+1))
	if err != nil {
		r.fail("cannot decompress rows: %v", err)
		return nil
	}
	if len(plain) > maxDecompressedBytes {
		r.fail("decompressed rows exceed the limit of %d bytes", maxDecompressedBytes)
		return nil
	}
	var w daisywire.Rows
	if err := proto.Unmarshal(plain, &w); err != nil {
		r.fail("cannot decode rows: %v", err)
		return nil
	}
	return w.GetRows()
}
