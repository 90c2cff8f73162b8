package daisyforward

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"

	"daisyyoke/core/daisyrequest"
)

// fingerprintHeaders are the header fields that tell callers apart. Others, such as request
// ids and deadlines, differ between requests that are the same otherwise.
var fingerprintHeaders = []string{"Authorization"}

// emptyBody is the digest of the body of a request that has none.
var emptyBody = digest(nil)

// newFingerprint returns the fingerprint of a request, without its body if it has one.
func newFingerprint(request *http.Request, body *source) daisyrequest.Fingerprint {
	parts := []string{request.Method, request.Host, request.URL.RequestURI()}
	for _, name := range fingerprintHeaders {
		parts = append(parts, request.Header.Get(name))
	}
	var head []byte
	for _, p := range parts {
		head = binary.AppendUvarint(head, uint64(len(p)))
		head = append(head, p...)
	}
	f := daisyrequest.Fingerprint{Head: digest(head)}
	if body == nil {
		f.Body = emptyBody
	}
	return f
}

func digest(data []byte) daisyrequest.Digest {
	sum := sha256.Sum256(data)
	return daisyrequest.Digest(sum[:len(daisyrequest.Digest{})])
}

// fingerprint returns the fingerprint of the request, with that of its body if the whole
// body has arrived and is still at hand.
func (x *exchange) fingerprint() daisyrequest.Fingerprint {
	f := x.call.Request.Fingerprint
	if !f.Complete() {
		f.Body = x.source.digest()
	}
	return f
}

// digest returns the digest of the body; 0 if it has not arrived as a whole or is no longer
// held as a whole.
func (s *source) digest() daisyrequest.Digest {
	if s == nil {
		return emptyBody
	}
	if !s.complete() || !s.resendable() {
		return daisyrequest.Digest{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return digest(s.buffer)
}
