// Package daisysnapshot encodes snapshots, intents, heads and plan records for the
// object store, the table and other VMs.
//
// The hash of a snapshot or an intent is the SHA-256 of its canonical JSON, which
// has a fixed order of fields and no spaces. The JSON is compressed with gzip only
// after it is hashed, so that the hash does not depend on the compressor.
package daisysnapshot

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
)

// MaxDecodedSize is the maximum size of the JSON of a snapshot or an intent, in bytes.
const MaxDecodedSize = 16 << 20

// Encode encodes a snapshot and returns its hash. It ignores the Hash field of the snapshot.
func Encode(snapshot *daisyconfig.Snapshot) ([]byte, daisyconfig.Hash, error) {
	return encode(newSnapshotDocument(snapshot))
}

// Hash computes the hash of a snapshot. It ignores the Hash field of the snapshot.
func Hash(snapshot *daisyconfig.Snapshot) (daisyconfig.Hash, error) {
	text, err := json.Marshal(newSnapshotDocument(snapshot))
	if err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "encode")
	}
	return hashOf(text), nil
}

// Decode decodes a snapshot and sets its Hash to the hash of the decoded JSON, which
// includes fields that this version does not know. It fails with
// daisyerror.InvalidRequest.
func Decode(data []byte) (*daisyconfig.Snapshot, error) {
	var d snapshotDocument
	hash, err := decode(data, &d)
	if err != nil {
		return nil, err
	}
	s, err := d.snapshot()
	if err != nil {
		return nil, err
	}
	s.Hash = hash
	return s, nil
}

// EncodeIntent encodes an intent and returns its hash.
func EncodeIntent(intent daisyconfig.Intent) ([]byte, daisyconfig.Hash, error) {
	return encode(newIntentDocument(intent))
}

// DecodeIntent decodes an intent and returns the hash of the decoded JSON. It fails
// with daisyerror.InvalidRequest.
func DecodeIntent(data []byte) (daisyconfig.Intent, daisyconfig.Hash, error) {
	var d intentDocument
	hash, err := decode(data, &d)
	if err != nil {
		return daisyconfig.Intent{}, "", err
	}
	intent, err := d.intent()
	return intent, hash, err
}

// gzipWriters reuses gzip writers, because each allocates most of a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// encode returns the compressed JSON of a document and the hash of the JSON.
func encode(document any) ([]byte, daisyconfig.Hash, error) {
	text, err := json.Marshal(document)
	if err != nil {
		return nil, "", daisyerror.Internal.Wrap(err, "encode")
	}
	var b bytes.Buffer
	w, ok := gzipWriters.Get().(*gzip.Writer)
	if !ok {
		return nil, "", daisyerror.Internal.New("no compressor")
	}
	defer gzipWriters.Put(w)
	w.Reset(&b)
	if _, err := w.Write(text); err != nil {
		return nil, "", daisyerror.Internal.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, "", daisyerror.Internal.Wrap(err, "compress")
	}
	return b.Bytes(), hashOf(text), nil
}

// decode decodes compressed JSON into a document and returns the hash of the JSON.
func decode(data []byte, document any) (daisyconfig.Hash, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "decompress")
	}
	text, err := io.ReadAll(io.LimitReader(r, MaxDecodedSize+1))
	if err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "decompress")
	}
	if len(text) > MaxDecodedSize {
		return "", daisyerror.InvalidRequest.New("more than %d bytes", MaxDecodedSize)
	}
	if err := json.Unmarshal(text, document); err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "decode")
	}
	return hashOf(text), nil
}

func hashOf(text []byte) daisyconfig.Hash {
	sum := sha256.Sum256(text)
	return daisyconfig.Hash(hex.EncodeToString(sum[:]))
}
