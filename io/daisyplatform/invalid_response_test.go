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

// Guards against a response of the platform that is not valid and whose row, version or
// refusal is believed.
func TestInvalidResponsesOfThePlatformAreNotBelieved(t *testing.T) {
	const fields = "Daisy-Platform: v1\r\nETag: \"7\"\r\nContent-Length: 0\r\n\r\n"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nOdd Name: a\r\n" + fields,
		"HTTP/1.1 404 Not Found\r\nOdd Name: a\r\n" + fields,
		"HTTP/1.1 412 Precondition Failed\r\nOdd Name: a\r\n" + fields,
		"HTTP/1.1 503 Unavailable\r\nOdd Name: a\r\n" + fields,
		"HTTP/1.1 103 Early Hints\r\nOdd Name: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields,
		"HTTP/1.1 099 Odd\r\n" + fields,
	} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			server, err := daisystand.ListenScript(daisystand.Script{Response: text})
			assert.NilError(t, err)
			defer server.Close()
			client := daisyplatform.NewClient(url.URL{Scheme: "http", Host: server.Address().String()}, nil)
			defer client.Close()
			// The platform may have written the row.
			written := client.SwapRow(t.Context(), "a/b", 0, []byte("value"))
			_, unknown := written.(daisyplatform.Unknown)
			assert.Check(t, unknown, "%#v", written)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			read := client.GetRow(ctx, "a/b")
			_, unavailable := read.(daisyplatform.Unavailable)
			assert.Check(t, unavailable, "%#v", read)
		})
	}
}
