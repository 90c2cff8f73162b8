package daisyforward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
)

// fingerprintOf returns the fingerprint of a request whose body has arrived.
func fingerprintOf(t *testing.T, request *http.Request) daisyrequest.Fingerprint {
	t.Helper()
	s := newSource(request, http.NewResponseController(httptest.NewRecorder()), Limits{MaxReplayBytes: 1 << 10, StallTimeout: DefaultLimits().StallTimeout})
	f := newFingerprint(request, "", s)
	if s != nil {
		_, err := io.Copy(io.Discard, s.newReader())
		assert.NilError(t, err)
		defer s.close()
	}
	if !f.Complete() {
		f.Body = s.digest()
	}
	return f
}

// Guards against requests that pass for one another, and against a request that is another
// one to each VM or when its caller sends it again.
func TestFingerprintIdentifiesRequests(t *testing.T) {
	request := func(change func(*http.Request), body string) daisyrequest.Fingerprint {
		r := httptest.NewRequest(http.MethodPost, "http://visits.vigia-lar/a/b?page=2", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer ana")
		r.Header.Set("Daisy-Attempt", "a-1")
		change(r)
		return fingerprintOf(t, r)
	}
	same := func(*http.Request) {}
	first := request(same, "body")
	assert.Assert(t, first.Complete())
	assert.Equal(t, len(first.String()), 25)
	assert.Equal(t, request(func(r *http.Request) {
		r.RemoteAddr = "192.0.2.7:80"
		r.Header.Set("Daisy-Attempt", "a-2")
		r.Header.Set("Daisy-Timeout", "17ms")
	}, "body"), first)
	others := map[string]daisyrequest.Fingerprint{
		"method":  request(func(r *http.Request) { r.Method = http.MethodPut }, "body"),
		"host":    request(func(r *http.Request) { r.Host = "visits.kehikko" }, "body"),
		"path":    request(func(r *http.Request) { r.URL.Path = "/a/c" }, "body"),
		"query":   request(func(r *http.Request) { r.URL.RawQuery = "page=3" }, "body"),
		"caller":  request(func(r *http.Request) { r.Header.Set("Authorization", "Bearer rui") }, "body"),
		"body":    request(same, "other"),
		"no body": fingerprintOf(t, httptest.NewRequest(http.MethodPost, "http://visits.vigia-lar/a/b?page=2", nil)),
	}
	for name, f := range others {
		assert.Assert(t, f.Complete(), name)
		assert.Assert(t, f != first, name)
	}
}

// Guards against a body that is only known in part and taken for a whole one.
func TestFingerprintOfALongBodyIsNotComplete(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "http://visits.vigia-lar/a", strings.NewReader(strings.Repeat("a", 2<<10)))
	f := fingerprintOf(t, r)
	assert.Assert(t, !f.Complete())
	assert.Equal(t, f.String(), "")
}

// Guards against a digest of the rest of a body whose beginning is discarded at that moment, by
// an attempt that still sends it after an early response.
func TestDigestIsOfTheWholeBodyOrNone(t *testing.T) {
	const replay = 16 << 10
	body := strings.Repeat("abcdefgh", replay/4)
	whole := digest([]byte(body))
	for range 200 {
		r := httptest.NewRequest(http.MethodPost, "http://visits.vigia-lar/a", strings.NewReader(body))
		s := newSource(r, http.NewResponseController(httptest.NewRecorder()), Limits{MaxReplayBytes: replay, StallTimeout: DefaultLimits().StallTimeout})
		reader := s.newReader()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = io.Copy(io.Discard, reader)
		}()
		for read := false; !read; {
			select {
			case <-done:
				read = true
			default:
			}
			if d := s.digest(); d != (daisyrequest.Digest{}) {
				assert.Equal(t, d, whole)
			}
		}
		s.close()
	}
}

// Guards against a request of one account that is refused because of another account's, and
// against one that is not recognized under the account's second key, which was removed.
func TestFingerprintTellsAccountsApart(t *testing.T) {
	request := httptest.NewRequest(http.MethodGet, "http://visits.vigia-lar/a/b", nil)
	north, south := newFingerprint(request, "north", nil), newFingerprint(request, "south", nil)
	assert.Assert(t, north != south)
	assert.Assert(t, north != newFingerprint(request, "", nil))
	assert.Equal(t, north, newFingerprint(request, "north", nil))
}
