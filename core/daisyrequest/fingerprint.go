package daisyrequest

import "fmt"

// Fingerprint identifies requests that are the same: they have the same method, host, path,
// query, credentials and body. It is the same on every VM, and 0 identifies no request.
type Fingerprint struct {
	// Head identifies everything but the body.
	Head Digest
	// Body identifies the body; 0 while not all of it is known.
	Body Digest
}

// Digest is a cryptographic digest, so that no caller can make its request pass for
// another one.
type Digest [16]byte

// Complete reports whether the fingerprint identifies a request with its body.
func (f Fingerprint) Complete() bool { return f.Head != Digest{} && f.Body != Digest{} }

// shownBytes is the number of bytes of each digest that String shows.
const shownBytes = 6

// String returns a short form for logs; empty if the fingerprint is not complete.
func (f Fingerprint) String() string {
	if !f.Complete() {
		return ""
	}
	return fmt.Sprintf("%x-%x", f.Head[:shownBytes], f.Body[:shownBytes])
}
