package daisyfactory_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyfactory"
	"daisyyoke/io/daisystand"
)

func TestClientSendsTheFirstTokenOfTheFile(t *testing.T) {
	const token = "0123456789abcdef"
	cases := []struct{ name, file string }{
		{"one token", token},
		{"trailing newline", token + "\n"},
		{"comment and second token", "# ours\n\n" + token + "\nfedcba9876543210\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "tokens")
			assert.NilError(t, os.WriteFile(file, []byte(c.file), 0o600))
			var sent string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				sent = r.Header.Get("Authorization")
				_, _ = w.Write([]byte("[]"))
			}))
			defer server.Close()
			root := &cobra.Command{}
			f := daisyfactory.New(root)
			assert.NilError(t, root.ParseFlags([]string{"--server", strings.TrimPrefix(server.URL, "http://"), "--operator-token-file", file}))
			client, err := f.Client()
			assert.NilError(t, err)
			_, err = client.ListVMs(context.Background())
			assert.NilError(t, err)
			assert.Equal(t, sent, "Bearer "+token)
		})
	}
}

func TestInvalidSettingErrorsNameTheirFlag(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "tokens")
	assert.NilError(t, os.WriteFile(empty, []byte("# none\n"), 0o600))
	cases := [][]string{
		{"--server", "bogus"},
		{"--server", "http://127.0.0.1:8081"},
		{"--operator-token-file", "missing"},
		{"--operator-token-file", empty},
		{"--tls-authority", "missing"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c, " "), func(t *testing.T) {
			root := &cobra.Command{}
			f := daisyfactory.New(root)
			assert.NilError(t, root.ParseFlags(c))
			_, err := f.Client()
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidSetting), "%v", err)
			assert.Check(t, is.Contains(err.Error(), c[0]))
		})
	}
}

// Guards against a response that is not valid and whose plan is taken for confirmed.
func TestClientRejectsInvalidResponses(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nOdd Name: a\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", "HTTP/1.1 000\r\n"} {
		server, err := daisystand.ListenScript(daisystand.Script{Response: head + "Content-Length: 11\r\n\r\n" + `{"id":"p1"}`})
		assert.NilError(t, err)
		defer server.Close()
		root := &cobra.Command{}
		f := daisyfactory.New(root)
		assert.NilError(t, root.ParseFlags([]string{"--server", server.Address().String()}))
		client, err := f.Client()
		assert.NilError(t, err)
		plan, err := client.ConfirmPlan(context.Background(), "p1")
		assert.Check(t, errorx.IsOfType(err, daisyerror.Unknown), "%q: %+v, %v", head, plan, err)
	}
}
