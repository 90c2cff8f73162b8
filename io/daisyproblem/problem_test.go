package daisyproblem_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

func ExampleNative_WriteProblem() {
	w := httptest.NewRecorder()
	p := daisyproblem.FromFailure(daisyrequest.Overloaded{RetryAfter: 1200 * time.Millisecond})
	daisyproblem.Native{}.WriteProblem(w, p)
	fmt.Println(w.Code, w.Header().Get("Daisy-Run"), w.Header().Get("Retry-After"), w.Header().Get("Content-Type"))
	fmt.Println(w.Body)
	// Output:
	// 429 not-run 2 application/problem+json
	// {"type":"about:blank","title":"Refused to protect more urgent work or the endpoints","status":429}
}

func TestFromFailureSetsStatusAndHeaders(t *testing.T) {
	cases := []struct {
		failure    daisyrequest.Failure
		status     int
		run        string
		retryAfter string
	}{
		{daisyrequest.Overloaded{RetryAfter: time.Second}, 429, "not-run", "1"},
		{daisyrequest.NoEndpoint{RetryAfter: time.Millisecond}, 503, "not-run", "1"},
		{daisyrequest.DeadlinePassed{Run: daisyrequest.NotRun}, 504, "not-run", ""},
		{daisyrequest.DeadlinePassed{Run: daisyrequest.MayHaveRun}, 504, "unknown", ""},
		{daisyrequest.EndpointFailed{}, 502, "unknown", ""},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		daisyproblem.Native{}.WriteProblem(w, daisyproblem.FromFailure(c.failure))
		assert.Equal(t, w.Code, c.status, "%T", c.failure)
		assert.Equal(t, w.Header().Get("Daisy-Run"), c.run, "%T", c.failure)
		assert.Equal(t, w.Header().Get("Retry-After"), c.retryAfter, "%T", c.failure)
	}
}
