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
	// packFrom is the number of bytes of values from which rows are compressed: less
	// than a segment gains nothing.
	packFrom = 1400
	// unpackedLimit bounds rows when they are decompressed, in bytes; it is what a frame may have.
	unpackedLimit = maxBulkFrame
)

// packs compresses rows once for all peers that they are given to. It is safe for concurrent use.
type packs struct {
	mu sync.Mutex
	// first and count say which rows were compressed last: rows do not change once given.
	first  *daisyfeed.Row
	count  int
	packed []byte
}

// pack gives the rows compressed, or nothing when they are better sent as they are.
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
		// Neither an encoding in memory nor a compressor that writes there fails.
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
		return nil, Malformed.Wrap(err, "compress rows")
	}
	if err := z.Close(); err != nil {
		return nil, Malformed.Wrap(err, "compress rows")
	}
	return b.Bytes(), nil
}

// unpack reads compressed rows.
func (r *reading) unpack(packed []byte) []*daisywire.Row {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackedLimit+1))
	if err != nil {
		r.fail("compressed rows: %v", err)
		return nil
	}
	if len(plain) > unpackedLimit {
		r.fail("more than %d bytes of rows", unpackedLimit)
		return nil
	}
	var w daisywire.Rows
	if err := proto.Unmarshal(plain, &w); err != nil {
		r.fail("rows: %v", err)
		return nil
	}
	return w.GetRows()
}
