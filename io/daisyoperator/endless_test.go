package daisyoperator_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisystand"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a command that reads an endless answer for as long as it comes.
func TestEndlessAnswersToOperatorsAreCutOff(t *testing.T) {
	cases := map[string]daisystand.Endless{
		"status line": {Prefix: "HTTP/1.1 200 ", Filler: "x"},
		"header":      {Prefix: "HTTP/1.1 200 OK\r\nX-A: ", Filler: "x"},
		"body":        {Prefix: "HTTP/1.1 200 OK\r\n\r\n", Filler: " "},
		"error":       {Prefix: "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n", Filler: "400\r\n" + strings.Repeat(" ", 1024) + "\r\n"},
	}
	// maxBytes is the limit of a response, 32 MiB, with the framing of chunks and a header.
	const maxBytes = 33 << 20
	for name, endless := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := daisystand.ListenEndless(endless)
			assert.NilError(t, err)
			defer server.Close()
			var read atomic.Int64
			transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := new(net.Dialer).DialContext(ctx, network, address)
				return countingConn{Conn: c, read: &read}, err
			}}
			client := daisyoperator.NewClient(daisyoperator.ClientOptions{Server: "http://" + server.Address().String(), HTTP: &http.Client{Transport: transport}})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err = client.ListVMs(ctx)
			assert.Assert(t, err != nil)
			assert.NilError(t, ctx.Err(), "the answer was read until the time was over")
			assert.Check(t, read.Load() < maxBytes, "%d bytes were read", read.Load())
		})
	}
}
