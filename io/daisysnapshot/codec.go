// Package daisysnapshot encodes configurations for the object store, the table and other VMs.
//
// A snapshot's hash is the SHA-256 of its canonical JSON, which has a fixed order
// of fields and no spaces. What is stored and sent is that JSON under gzip, so
// that the hash does not depend on the compressor.
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

// MaxDecodedSize bounds the canonical JSON of a snapshot or an intent, in bytes.
const MaxDecodedSize = 16 << 20

// Encode gives the encoding of a snapshot and its hash. The Hash of the snapshot itself is not read.
func Encode(snapshot *daisyconfig.Snapshot) ([]byte, daisyconfig.Hash, error) {
	return encode(snapshotOf(snapshot))
}

// Hash gives the hash of a snapshot, worked out anew. The Hash of the snapshot itself is not read.
func Hash(snapshot *daisyconfig.Snapshot) (daisyconfig.Hash, error) {
	plain, err := json.Marshal(snapshotOf(snapshot))
	if err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "encode")
	}
	return hashOf(plain), nil
}

// Decode reads a snapshot and sets its Hash from what was read. It fails with
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

// EncodeIntent gives the encoding of an intent and its hash.
func EncodeIntent(intent daisyconfig.Intent) ([]byte, daisyconfig.Hash, error) {
	return encode(intentOf(intent))
}

// DecodeIntent reads an intent and gives its hash. It fails with daisyerror.InvalidRequest.
func DecodeIntent(data []byte) (daisyconfig.Intent, daisyconfig.Hash, error) {
	var d intentDocument
	hash, err := decode(data, &d)
	if err != nil {
		return daisyconfig.Intent{}, "", err
	}
	intent, err := d.intent()
	return intent, hash, err
}

// compressors keeps compressors, which take most of a megabyte each, for their next use.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

func encode(document any) ([]byte, daisyconfig.Hash, error) {
	plain, err := json.Marshal(document)
	if err != nil {
		return nil, "", daisyerror.Internal.Wrap(err, "encode")
	}
	var b bytes.Buffer
	z, ok := compressors.Get().(*gzip.Writer)
	if !ok {
		return nil, "", daisyerror.Internal.New("no compressor")
	}
	defer compressors.Put(z)
	z.Reset(&b)
	if _, err := z.Write(plain); err != nil {
		return nil, "", daisyerror.Internal.Wrap(err, "compress")
	}
	if err := z.Close(); err != nil {
		return nil, "", daisyerror.Internal.Wrap(err, "compress")
	}
	return b.Bytes(), hashOf(plain), nil
}

func decode(data []byte, document any) (daisyconfig.Hash, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(z, MaxDecodedSize+1))
	if err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "decompress")
	}
	if len(plain) > MaxDecodedSize {
		return "", daisyerror.InvalidRequest.New("more than %d bytes", MaxDecodedSize)
	}
	if err := json.Unmarshal(plain, document); err != nil {
		return "", daisyerror.InvalidRequest.Wrap(err, "decode")
	}
	return hashOf(plain), nil
}

func hashOf(plain []byte) daisyconfig.Hash {
	sum := sha256.Sum256(plain)
	return daisyconfig.Hash(hex.EncodeToString(sum[:]))
}
