package daisyoperator_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisystand"
)

// Guards against a command that reads an endless answer for as long as it comes.
func TestEndlessAnswersToOperatorsAreCutOff(t *testing.T) {
	cases := map[string]daisystand.Endless{
		"status line": {Prefix: "HTTP/1.1 200 ", Filler: "x"},
		"header":      {Prefix: "HTTP/1.1 200 OK\r\nX-A: ", Filler: "x"},
		"body":        {Prefix: "HTTP/1.1 200 OK\r\n\r\n", Filler: " "},
		"error":       {Prefix: "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n", Filler: "400\r\n" + strings.Repeat(" ", 1024) + "\r\n"},
	}
	// maxBytes is more than the limit of a response and what the buffers of two sockets hold.
	const maxBytes = 48 << 20
	for name, endless := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := daisystand.ListenEndless(endless)
			assert.NilError(t, err)
			defer server.Close()
			client := daisyoperator.NewClient(daisyoperator.ClientOptions{Server: "http://" + server.Address().String(), HTTP: &http.Client{Transport: &http.Transport{}}})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = client.ListVMs(ctx)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the answer was read until the time was over")
			assert.Check(t, server.Sent() < maxBytes, "%d bytes were read", server.Sent())
		})
	}
}
