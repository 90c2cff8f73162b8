package daisyload_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisyload"
	"daisyyoke/io/daisystand"
)

// Guards against a probe that believes the report, or the notice, of a response that is not
// valid.
func TestProbeRejectsInvalidResponses(t *testing.T) {
	const report = "Daisy-Load: in-flight=0, slots=3, leaving=?1\r\nContent-Length: 0\r\n\r\n"
	for _, text := range []string{
		"HTTP/1.1 000\r\n" + report,
		"HTTP/1.1 099 Odd\r\n" + report,
		"HTTP/1.1 200 OK\r\nOdd Name: a\r\n" + report,
		"HTTP/1.1 103 Early Hints\r\nOdd Name: a\r\n\r\nHTTP/1.1 200 OK\r\n" + report,
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n" + report,
	} {
		endpoint, err := daisystand.ListenScript(daisystand.Script{Response: text})
		assert.NilError(t, err)
		defer endpoint.Close()
		pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
		defer pool.Close()
		_, notice, err := daisyload.NewProber(pool).Probe(t.Context(), daisyservice.Service{}, endpoint.Address())
		assert.Check(t, errorx.IsOfType(err, daisyconnection.Malformed), "%q: %v", text, err)
		assert.Check(t, notice == nil, "%q: %v", text, notice)
	}
}
