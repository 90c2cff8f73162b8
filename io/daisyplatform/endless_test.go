package daisyplatform_test

import (
	"context"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisystand"
)

// Guards against a call to the platform that reads an endless answer for as long as it comes.
func TestEndlessAnswersOfThePlatformAreCutOff(t *testing.T) {
	cases := map[string]daisystand.Endless{
		"status line": {Prefix: "HTTP/1.1 200 ", Filler: "x"},
		"header":      {Prefix: "HTTP/1.1 200 OK\r\nX-A: ", Filler: "x"},
		"body":        {Prefix: "HTTP/1.1 200 OK\r\n\r\n", Filler: " "},
		"slow body":   {Prefix: "HTTP/1.1 200 OK\r\n\r\n", Filler: " ", Pause: 20 * time.Millisecond},
	}
	// maxBytes is more than the limits of the attempts and what the buffers of sockets hold.
	const maxBytes = 256 << 20
	for name, endless := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := daisystand.ListenEndless(endless)
			assert.NilError(t, err)
			defer server.Close()
			client := daisyplatform.NewClient(url.URL{Scheme: "http", Host: server.Address().String()}, nil)
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, unavailable := client.GetRow(ctx, "a/b").(daisyplatform.Unavailable)
			assert.Assert(t, unavailable)
			assert.Check(t, server.Sent() < maxBytes, "%d bytes were read", server.Sent())
		})
	}
}
