package daisyforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisystand"
)

// uploadSize is more than what the sockets between a caller and an endpoint hold, in bytes.
const uploadSize = 16 << 20

// newUpload returns a request with a long body, which has a length or is chunked.
func newUpload(t *testing.T, known bool) *http.Request {
	t.Helper()
	r := newCall(t, http.MethodPost, &patternReader{left: uploadSize})
	if known {
		r.ContentLength = uploadSize
	}
	return r
}

// Guards against a part of a response without a length that passes for a complete one,
// because the endpoint reset the connection while the request was still being written.
func TestResetDuringUploadCutsTheResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 500 Oops\r\n\r\n",
	} {
		for _, body := range []string{"part", ""} {
			for _, known := range []bool{true, false} {
				t.Run(fmt.Sprintf("%q/%s/length %v", head, body, known), func(t *testing.T) {
					endpoint := startScript(t, daisystand.Script{Response: head + body, Early: true, Ending: daisystand.ResetConnection, Pause: time.Millisecond})
					s := newSettings(endpoint.Address())
					s.slots = 1
					v := startVM(t, s)
					for range 10 {
						for _, protocol := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
							got := roundTrip(t, v.client(t, protocol), newUpload(t, known))
							assert.Check(t, got == failed || got.truncated, "%v: %+v", protocol, got)
						}
					}
					assert.Equal(t, v.inFlight(), 0)
				})
			}
		}
	}
}

// Guards against a cut in a response without a length that an endpoint ends in order,
// while it goes on reading the request.
func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	endpoint := startScript(t, daisystand.Script{Response: "HTTP/1.1 200 OK\r\n\r\nwhole", Early: true, Ending: daisystand.CloseConnection})
	v := startVM(t, newSettings(endpoint.Address()))
	for range 20 {
		conn, err := net.Dial("tcp", v.server.Address().String())
		assert.NilError(t, err)
		// The rest of the body is still to come when the response ends.
		_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: lookups.vigia-lar\r\nContent-Length: 10000\r\n\r\nbegin")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "whole")
		assert.NilError(t, conn.Close())
	}
}
