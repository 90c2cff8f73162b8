package daisycaller

import (
	"fmt"
	"io"
	"math"
	"net/http"

	"daisyyoke/core/daisyerror"
)

var (
	errHeaderTooLarge = daisyerror.InvalidRequest.New("request header too large")
	errBodyTooLarge   = daisyerror.InvalidRequest.New("request body too large")
)

// limitedReader limits the number of bytes that are read for one header.
type limitedReader struct {
	reader    io.Reader
	remaining int
	// lastErr is the error of the last read, which the parser of the header may hide.
	lastErr error
}

func (l *limitedReader) setLimit(bytes int) { l.remaining = bytes }

func (l *limitedReader) removeLimit() { l.remaining = math.MaxInt }

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.lastErr = errHeaderTooLarge
		return 0, l.lastErr
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.lastErr = err
	return n, err
}

func encodeRejection(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status))
}
