package daisyerror_test

import (
	"fmt"
	"io/fs"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyerror"
)

func ExampleText() {
	err := daisyerror.Unavailable.New("the platform is down")
	err = daisyerror.Unavailable.Wrap(err, "read the head row")
	fmt.Println(err)
	fmt.Println(daisyerror.Text(err))
	// Output:
	// daisyyoke.unavailable: read the head row, cause: daisyyoke.unavailable: the platform is down
	// read the head row: the platform is down
}

func TestTextNamesNoType(t *testing.T) {
	alone := daisyerror.NotFound.New("no plan %s", "p1")
	cases := []struct {
		name string
		err  error
		want string
	}{
		{"alone", alone, "no plan p1"},
		{"error of another library", fs.ErrNotExist, "file does not exist"},
		{"wraps an error of another library", daisyerror.InvalidSetting.Wrap(fs.ErrNotExist, "--file"), "--file: file does not exist"},
		{"wraps without a message", daisyerror.Unavailable.WrapWithNoMessage(alone), "no plan p1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, daisyerror.Text(c.err), c.want)
		})
	}
}
