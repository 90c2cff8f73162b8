package daisyload_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisyload"
	"daisyyoke/io/daisystand"
)

// Guards against a probe that reads an endless answer for as long as it comes.
func TestEndlessAnswersToProbesAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nDaisy-Load: in-flight=0, slots=3\r\n"
	cases := map[string]daisystand.Endless{
		"status line":       {Prefix: "HTTP/1.1 200 ", Filler: "x"},
		"header":            {Prefix: head + "X-A: ", Filler: "x"},
		"interim responses": {Filler: "HTTP/1.1 102 Processing\r\n\r\n"},
		"slow header":       {Prefix: head, Filler: "X", Pause: 20 * time.Millisecond},
		"body":              {Prefix: head + "\r\n", Filler: "hello"},
		"chunk line":        {Prefix: head + "Transfer-Encoding: chunked\r\n\r\n5;", Filler: "x"},
		"slow chunk line":   {Prefix: head + "Transfer-Encoding: chunked\r\n\r\n5;", Filler: "x", Pause: 20 * time.Millisecond},
		"after the answer":  {Prefix: head + "Content-Length: 2\r\n\r\nok", Filler: "HTTP/1.1 200 OK\r\n\r\n"},
	}
	// maxBytes is more than the limit of a header and what the buffers of two sockets hold.
	const maxBytes = 16 << 20
	for name, endless := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := daisystand.ListenEndless(endless)
			assert.NilError(t, err)
			defer server.Close()
			pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
			defer pool.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			service := daisyservice.Service{ID: daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}}
			// The report may have arrived before the part that does not end.
			_, _, _ = daisyload.NewProber(pool).Probe(ctx, service, server.Address())
			for range 10_000 {
				if server.Broken() == 1 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, server.Broken(), int64(1))
			assert.Check(t, server.Sent() < maxBytes, "%d bytes were read", server.Sent())
		})
	}
}
