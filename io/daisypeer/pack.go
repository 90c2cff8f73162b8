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
	// packFrom is the total size of values in bytes from which rows are compressed. Rows that
	// fit in one TCP segment gain nothing from compression.
	packFrom = 1400
	// unpackedLimit is the maximum size of decompressed rows, in bytes. It equals the frame
	// limit, so that compression does not allow more data than a frame without it.
	unpackedLimit = maxBulkFrame
)

// packs compresses rows and caches the latest result, so that the same rows are compressed
// once for all peers. It is safe for concurrent use.
type packs struct {
	mu sync.Mutex
	// first and count identify the cached rows. This is safe because rows are not modified
	// after they have been passed to this type.
	first  *daisyfeed.Row
	count  int
	packed []byte
}

// pack returns the rows in compressed form, or nil if they are to be sent uncompressed.
func (p *packs) pack(rows []daisyfeed.Row) []byte {
	size := 0
	for _, r := range rows {
		size += len(r.Value)
	}
	if size < packFrom {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.first == &rows[0] && p.count == len(rows) {
		return p.packed
	}
	packed, err := compressRows(rows)
	if err != nil {
		// Not reached: encoding and compressing in memory do not fail.
		return nil
	}
	p.first, p.count, p.packed = &rows[0], len(rows), packed
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

// unpack decompresses and decodes rows.
func (r *reading) unpack(packed []byte) []*daisywire.Row {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackedLimit+1))
	if err != nil {
		r.fail("cannot decompress rows: %v", err)
		return nil
	}
	if len(plain) > unpackedLimit {
		r.fail("decompressed rows exceed the limit of %d bytes", unpackedLimit)
		return nil
	}
	var w daisywire.Rows
	if err := proto.Unmarshal(plain, &w); err != nil {
		r.fail("cannot decode rows: %v", err)
		return nil
	}
	return w.GetRows()
}
