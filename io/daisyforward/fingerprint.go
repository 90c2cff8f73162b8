package daisyforward

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyfilter"
)

// fingerprintHeaders are the header fields that tell callers apart. Others, such as request
// ids and deadlines, differ between requests that are the same otherwise.
var fingerprintHeaders = []string{"Authorization"}

// emptyBody is the digest of the body of a request that has none.
var emptyBody = digest(nil)

// newFingerprint returns the fingerprint of a request, without its body if it has one. The
// key of a client account is removed before; its account takes its place.
func newFingerprint(request *http.Request, account daisyaccount.Name, body *source) daisyrequest.Fingerprint {
	parts := []string{request.Method, request.Host, request.URL.RequestURI()}
	for _, name := range fingerprintHeaders {
		parts = append(parts, request.Header.Get(name))
	}
	if account != "" {
		parts = append(parts, string(account))
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

// readSuspectBody reads the body of a request if it depends on the body whether the request
// is one that crashes endpoints. A body that is too long to be held remains unknown.
func (f *Forwarder) readSuspectBody(call *daisyfilter.Call, body *source) {
	r := &call.Request
	if r.Fingerprint.Complete() || !f.routes.Suspects(r.Service, r.Fingerprint.Head) {
		return
	}
	ctx, cancel := context.WithDeadline(call.HTTP.Context(), r.Deadline)
	defer cancel()
	body.hold(ctx)
	r.Fingerprint.Body = body.digest()
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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != io.EOF || s.start != 0 {
		return daisyrequest.Digest{}
	}
	return digest(s.buffer)
}

// hold reads the body until its end, or until no more of it can be held for further attempts.
func (s *source) hold(ctx context.Context) {
	for s.mayHold() {
		s.mu.Lock()
		s.requestRead()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *source) mayHold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == nil && len(s.buffer) < s.limits.MaxReplayBytes
}
