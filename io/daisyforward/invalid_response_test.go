package daisyforward_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisystand"
)

// startScript starts an endpoint that is closed at the end of the test.
func startScript(t *testing.T, script daisystand.Script) *daisystand.ScriptServer {
	t.Helper()
	s, err := daisystand.ListenScript(script)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

// assertRefused asserts that callers get an error of the VM's own for each response of an
// endpoint, and that no connection with such a response carries another request.
func assertRefused(t *testing.T, response string) {
	t.Helper()
	assertScriptRefused(t, daisystand.Script{Response: response})
}

// assertScriptRefused is assertRefused for an endpoint that may end its connections.
func assertScriptRefused(t *testing.T, script daisystand.Script) {
	t.Helper()
	endpoint := startScript(t, script)
	assertFails(t, newSettings(endpoint.Address()))
	assert.Check(t, endpoint.Reused() == 0, "%d requests on connections with invalid responses", endpoint.Reused())
}

// assertHTTP2Refused is assertRefused for an HTTP/2 endpoint, where each response has a
// stream of its own.
func assertHTTP2Refused(t *testing.T, blocks ...[]hpack.HeaderField) {
	t.Helper()
	s := newSettings(startHTTP2Endpoint(t, blocks...))
	s.protocol = daisyservice.HTTP2
	assertFails(t, s)
}

// assertFails asserts that callers of a VM get an error of its own for each request, and
// that no slot stays occupied.
func assertFails(t *testing.T, s settings) {
	t.Helper()
	v := startVM(t, s)
	for _, protocol := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
		for range 2 {
			call := newCall(t, http.MethodPost, strings.NewReader("order"))
			call.Header.Set("Daisy-Timeout", "5s")
			got := roundTrip(t, v.client(t, protocol), call)
			assert.Check(t, got == failed, "%v: %+v", protocol, got)
		}
	}
	assert.Equal(t, v.inFlight(), 0)
}

// startHTTP2Endpoint starts an endpoint that responds to each request of HTTP/2 with the
// given header blocks, the last of which ends the stream.
func startHTTP2Endpoint(t *testing.T, blocks ...[]hpack.HeaderField) netip.AddrPort {
	t.Helper()
	return startRawEndpoint(t, func(_ *rawEndpoint, c net.Conn) {
		if _, err := io.CopyN(io.Discard, c, int64(len(http2.ClientPreface))); err != nil {
			return
		}
		f := http2.NewFramer(c, c)
		_ = f.WriteSettings()
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for {
			frame, err := f.ReadFrame()
			if err != nil {
				return
			}
			headers, ok := frame.(*http2.HeadersFrame)
			if !ok {
				continue
			}
			for i, fields := range blocks {
				block.Reset()
				for _, field := range fields {
					_ = encoder.WriteField(field)
				}
				_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: headers.StreamID, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: i == len(blocks)-1})
			}
		}
	})
}

// Guards against a response without a valid status that reaches callers as a response, or
// that ends their connection without one.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "001 OK", "007", "099 Odd", "+20 OK", "+00 OK", "-01 OK", "20 OK", "2000 OK", "2x0 OK", "OK"} {
		t.Run(status, func(t *testing.T) {
			assertRefused(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
	for _, status := range []string{"000", "7", "099", "+200", "0200", "-200", "20", "2000", "2x0", "", "200 OK"} {
		t.Run("HTTP2 "+status, func(t *testing.T) {
			assertHTTP2Refused(t, []hpack.HeaderField{{Name: ":status", Value: status}})
		})
	}
}

// Guards against a refusal of the statuses that HTTP leaves undefined: callers treat an
// unknown status as the first one of its class, and one above 599 as a server error.
func TestUndefinedStatusesArePassedOn(t *testing.T) {
	for _, status := range []int{299, 499, 599, 600, 999} {
		endpoint := startEndpoint(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		for _, protocol := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
			s := newSettings(endpoint)
			s.protocol = protocol
			got := roundTrip(t, startVM(t, s).client(t, daisyservice.HTTP1), newCall(t, http.MethodPost, nil))
			assert.Check(t, got == result{status: status}, "%d over %v: %+v", status, protocol, got)
		}
	}
}

// invalidFields are header lines whose name or value is not valid, although net/http
// accepts some of them.
var invalidFields = []string{
	"Odd Name: a", "Odd : a", "Content-Length : 4", "Content Length: 4", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
	"Odd\t: a", "O\x00dd: a", "O\x7fdd: a", "O\rdd: a", "O\x01dd: a", "\u00f6dd: a", "O(dd): a", ": a", "Odd",
	"Odd: a\x00b", "Odd: a\rb", "Odd: a\x7fb", "Odd: a\x01b",
}

// Guards against a response with an invalid line in its header that reaches callers with
// that line, without it, or with another body.
func TestInvalidFieldIsNoResponse(t *testing.T) {
	for _, field := range invalidFields {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
			assertRefused(t, "HTTP/1.1 200 OK\r\nServer: a\r\n"+field+"\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
	for _, name := range []string{"odd name", "odd ", "Odd", "o\x00dd", "", "content-length "} {
		t.Run(fmt.Sprintf("HTTP2 %q", name), func(t *testing.T) {
			assertHTTP2Refused(t, []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: name, Value: "a"}})
		})
	}
}

// Guards against a refusal of folded lines, which a recipient may join.
func TestFoldedLinesAreJoined(t *testing.T) {
	endpoint := startScript(t, daisystand.Script{Response: "HTTP/1.1 200 OK\r\nServer: a\r\n b\r\nContent-Length: 4\r\n\r\nbody"})
	v := startVM(t, newSettings(endpoint.Address()))
	response, err := v.client(t, daisyservice.HTTP1).RoundTrip(newCall(t, http.MethodPost, nil))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.Header.Get("Server"), "a b")
}

// Guards against a refusal that is believed, as a promise that the request did not run or
// as a report of the endpoint's load, although its header is not valid.
func TestInvalidRefusalIsNotBelieved(t *testing.T) {
	assertRefused(t, "HTTP/1.1 503 Unavailable\r\nDaisy-Run: not-run\r\nDaisy-Load: in-flight=0, slots=2, leaving=?1\r\nOdd Name: a\r\nContent-Length: 0\r\n\r\n")
	assertRefused(t, "HTTP/1.1 503 Unavailable\r\nDaisy-Run : not-run\r\nContent-Length: 0\r\n\r\n")
}

// Guards against an interim response that is not valid and that reaches callers, or whose
// final response does.
func TestInvalidInterimResponse(t *testing.T) {
	const final = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, status := range []string{"100 Continue", "102 Processing", "103 Early Hints"} {
		for _, field := range []string{"Odd Name: a", "Link : </a>", "O\x00dd: a"} {
			t.Run(fmt.Sprintf("%s/%q", status, field), func(t *testing.T) {
				assertRefused(t, "HTTP/1.1 "+status+"\r\n"+field+"\r\n\r\n"+final)
			})
		}
	}
	t.Run("HTTP2", func(t *testing.T) {
		assertHTTP2Refused(t,
			[]hpack.HeaderField{{Name: ":status", Value: "103"}, {Name: "odd name", Value: "a"}},
			[]hpack.HeaderField{{Name: ":status", Value: "200"}})
	})
}

// Guards against a trailer that is not valid and that reaches callers, with or without the
// invalid line, as the end of a complete response.
func TestInvalidTrailerCutsTheResponse(t *testing.T) {
	for _, field := range invalidFields {
		t.Run(fmt.Sprintf("%q", field), func(t *testing.T) {
			endpoint := startScript(t, daisystand.Script{Response: chunkedHead + "4\r\nbody\r\n0\r\nSum: 1\r\n" + field + "\r\n\r\n"})
			v := startVM(t, newSettings(endpoint.Address()))
			for _, protocol := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
				assert.Check(t, roundTrip(t, v.client(t, protocol), newCall(t, http.MethodPost, nil)) == cut, protocol)
			}
			assert.Equal(t, endpoint.Reused(), int64(0))
		})
	}
}

// Guards against a response of a version whose framing is not the one that it was read by,
// and that reaches callers with a body that is not the endpoint's.
func TestInvalidVersionIsNoResponse(t *testing.T) {
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/3.0", "HTTP/1.10", "HTTP/1", "http/1.1", "HTTP/1.x", "HTCPCP/1.0"} {
		t.Run(version, func(t *testing.T) {
			assertRefused(t, version+" 200 OK\r\nContent-Length: 4\r\n\r\nbody")
		})
	}
}

// Guards against the framing of chunks in the body of an HTTP/1.0 response, which has none.
func TestChunksInHTTP10AreNoResponse(t *testing.T) {
	const head, chunks = "HTTP/1.0 200 OK\r\nServer: a\r\n", "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
	for _, text := range []string{
		head + "Transfer-Encoding: chunked" + chunks,
		head + "transfer-encoding: CHUNKED" + chunks,
		head + "Transfer-Encoding: gzip" + chunks,
		head + "Transfer-Encoding:" + chunks,
		head + "Content-Length: 14\r\nTransfer-Encoding: chunked" + chunks,
		head + "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 14" + chunks,
		"HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Transfer-Encoding: chunked" + chunks,
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			assertScriptRefused(t, daisystand.Script{Response: text, Ending: daisystand.CloseConnection})
		})
	}
}

// Guards against the refusal of responses of a version that a recipient of HTTP/1.1 reads.
func TestVersionsThatArePassedOn(t *testing.T) {
	cases := []struct {
		head string
		// ending ends only connections that the head does not keep alive. A request that
		// meets such an end may have run, and gets 502.
		ending daisystand.Ending
	}{
		{"Content-Length: 4\r\n", daisystand.KeepAlive},
		{"Connection: keep-alive\r\nContent-Length: 4\r\n", daisystand.KeepAlive},
		{"Connection: close\r\nContent-Length: 4\r\n", daisystand.CloseConnection},
		{"", daisystand.CloseConnection},
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1", "HTTP/1.2"} {
		for _, c := range cases {
			endpoint := startScript(t, daisystand.Script{Response: version + " 200 OK\r\n" + c.head + "\r\nbody", Ending: c.ending})
			v := startVM(t, newSettings(endpoint.Address()))
			for range 3 {
				response, err := v.client(t, daisyservice.HTTP1).RoundTrip(newCall(t, http.MethodPost, nil))
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Check(t, response.StatusCode == http.StatusOK && string(body) == "body", "%s %q: %s %q", version, c.head, response.Status, body)
			}
		}
	}
}

// Guards against invalid responses that operators cannot find: each is counted by its kind,
// and logged with the endpoint, the request and what was wrong.
func TestInvalidResponsesAreCountedAndLogged(t *testing.T) {
	cases := []struct{ kind, text, message, cause string }{
		{"status", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "attempt failed", `invalid status code \"000\"`},
		{"field", "HTTP/1.1 200 OK\r\nOdd Name: a\r\nContent-Length: 0\r\n\r\n", "attempt failed", `invalid field name \"Odd Name\"`},
		{"interim", "HTTP/1.1 103 Early Hints\r\nOdd Name: a\r\n\r\n", "attempt failed", `interim response 103: invalid field name \"Odd Name\"`},
		{"framing", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", "attempt failed", "HTTP/2.0 in the status line"},
		{"trailer", chunkedHead + "0\r\nOdd Name: a\r\n\r\n", "request answered", `invalid field name \"Odd Name\"`},
	}
	for _, c := range cases {
		t.Run(c.kind, func(t *testing.T) {
			endpoint := startScript(t, daisystand.Script{Response: c.text})
			s := newSettings(endpoint.Address())
			var lines bytes.Buffer
			log, err := daisylog.New(daisylog.Options{Output: &lines, Level: "info"})
			assert.NilError(t, err)
			s.log, s.metrics = log, daisymetric.New()
			v := startVM(t, s)
			_ = roundTrip(t, v.client(t, daisyservice.HTTP1), newCall(t, http.MethodPost, nil))
			log.Close()
			want := []string{`"@message":"` + c.message + `"`, c.cause, `"endpoint":"` + endpoint.Address().String() + `"`, `"request":`}
			assert.Check(t, slices.ContainsFunc(strings.Split(lines.String(), "\n"), func(line string) bool {
				return !slices.ContainsFunc(want, func(w string) bool { return !strings.Contains(line, w) })
			}), "%s", lines.String())
			var counts strings.Builder
			assert.NilError(t, s.metrics.WritePrometheus(&counts))
			metric := `daisyyoke_malformed_responses_total{fleet="vigia-lar",service="lookups",kind="` + c.kind + `"} 1`
			assert.Check(t, strings.Contains(counts.String(), metric+"\n"), "%s", counts.String())
		})
	}
}

// Guards against an endpoint that goes on getting requests although its responses are not
// valid.
func TestEndpointWithInvalidResponsesIsLeftAlone(t *testing.T) {
	const requests = 200
	broken := startScript(t, daisystand.Script{Response: "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"})
	sound := func() netip.AddrPort {
		return startEndpoint(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}
	v := startVM(t, newSettings(broken.Address(), sound(), sound()))
	failures := 0
	for range requests {
		if got := roundTrip(t, v.client(t, daisyservice.HTTP1), newCall(t, http.MethodPost, strings.NewReader("order"))); got != served {
			assert.Equal(t, got, failed)
			failures++
		}
	}
	assert.Check(t, failures > 0 && failures <= requests/10, "%d of %d requests failed", failures, requests)
}

// Guards against a length that callers of HTTP/1.1 take for the end of the response although
// HTTP/2, where it frames nothing, does not have it checked.
func TestInvalidLengthInHTTP2IsNoResponse(t *testing.T) {
	for _, lengths := range [][]string{{"0", "4"}, {"0", "0"}, {"abc"}, {"+0"}, {"-1"}, {"0, 0"}, {""}, {"99999999999999999999"}} {
		t.Run(strings.Join(lengths, "/"), func(t *testing.T) {
			block := []hpack.HeaderField{{Name: ":status", Value: "200"}}
			for _, l := range lengths {
				block = append(block, hpack.HeaderField{Name: "content-length", Value: l})
			}
			assertHTTP2Refused(t, block)
		})
	}
}
