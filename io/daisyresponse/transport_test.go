package daisyresponse_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/io/daisyresponse"
)

// fixedResponse is a transport that returns the same response to each request.
type fixedResponse http.Response

func (f *fixedResponse) RoundTrip(*http.Request) (*http.Response, error) {
	r := http.Response(*f)
	if r.Body == nil {
		r.Body = http.NoBody
	}
	return &r, nil
}

func ExampleTransport() {
	client := &http.Client{Transport: daisyresponse.NewTransport(&fixedResponse{Status: "099 Odd", StatusCode: 99})}
	_, err := client.Get("http://127.0.0.1/")
	fmt.Println(daisyresponse.IsMalformed(err), daisyresponse.KindOf(err))
	fmt.Println(err)
	// Output:
	// true status
	// Get "http://127.0.0.1/": daisyyoke.unknown.malformed-response.status: invalid status code "099"
}

func ExampleValidStatus() {
	fmt.Println(daisyresponse.ValidStatus(0), daisyresponse.ValidStatus(99), daisyresponse.ValidStatus(200), daisyresponse.ValidStatus(1000))
	// Output:
	// false false true false
}

// Guards against a number that is no status code and that passes for one.
func TestStatusCodes(t *testing.T) {
	cases := []struct {
		status string
		code   int
		valid  bool
	}{
		{"200 OK", 200, true},
		{"200", 200, true},
		{"100 Continue", 100, true},
		{"600 ", 600, true},
		{"999 Odd", 999, true},
		{"000 OK", 0, false},
		{"099 OK", 99, false},
		{"+20 OK", 20, false},
		{"+200 OK", 200, false},
		{"0200 OK", 200, false},
		{"-200 ", -200, false},
		{"1000 ", 1000, false},
		{"", 0, false},
	}
	for _, c := range cases {
		r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
		assert.NilError(t, err)
		response, err := daisyresponse.NewTransport(&fixedResponse{Status: c.status, StatusCode: c.code}).RoundTrip(r)
		if c.valid {
			assert.NilError(t, err, c.status)
			assert.NilError(t, response.Body.Close())
			continue
		}
		assert.Check(t, errorx.IsOfType(err, daisyresponse.Malformed), "%q: %v", c.status, err)
	}
}

// Guards against field lines that are not valid, whatever reader they came through.
func TestFields(t *testing.T) {
	cases := []struct {
		name, value string
		valid       bool
	}{
		{"Odd", "a b\tc", true},
		{"odd-name_1", "", true},
		{"Odd", "\xe9", true},
		{"Odd Name", "a", false},
		{"Odd ", "a", false},
		{"", "a", false},
		{"Odd:", "a", false},
		{"Odd\x00", "a", false},
		{"\u00f6dd", "a", false},
		{"Odd", "a\x00", false},
		{"Odd", "a\r", false},
		{"Odd", "a\nb", false},
		{"Odd", "a\x7f", false},
	}
	for _, c := range cases {
		r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1/", nil)
		assert.NilError(t, err)
		transport := daisyresponse.NewTransport(&fixedResponse{Status: "200 OK", StatusCode: 200, Header: http.Header{c.name: {"first", c.value}}})
		response, err := transport.RoundTrip(r)
		if c.valid {
			assert.NilError(t, err, "%q: %q", c.name, c.value)
			assert.NilError(t, response.Body.Close())
			continue
		}
		assert.Check(t, errorx.IsOfType(err, daisyresponse.Malformed), "%q: %q: %v", c.name, c.value, err)
	}
}
