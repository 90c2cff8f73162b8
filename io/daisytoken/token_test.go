package daisytoken_test

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisytoken"
)

const (
	oldToken = "0123456789abcdef-old"
	newToken = "0123456789abcdef-new"
)

func writeFile(t *testing.T, path, content string, modified time.Time) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	assert.NilError(t, os.Chtimes(path, modified, modified))
}

func TestValidAcceptsOnlyTokensOfTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens")
	writeFile(t, path, "# operators\n\n  "+oldToken+"  \n"+newToken+"\n", time.Now())
	tokens, err := daisytoken.Load(path, nil)
	assert.NilError(t, err)
	for token, valid := range map[string]bool{
		oldToken: true, newToken: true, "": false, "# operators": false, oldToken[1:]: false, oldToken + "x": false,
	} {
		assert.Equal(t, tokens.Valid(token), valid, "%q", token)
	}
}

func TestUnusableFilesAreRejected(t *testing.T) {
	for name, content := range map[string]string{"empty": "", "comments": "# none\n", "short": "secret\n"} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "tokens")
			writeFile(t, path, content, time.Now())
			_, err := daisytoken.Load(path, nil)
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidSetting), "%v", err)
		})
	}
	_, err := daisytoken.Load(filepath.Join(t.TempDir(), "missing"), nil)
	assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidSetting), "%v", err)
}

func TestChangedFileIsReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens")
	synctest.Test(t, func(t *testing.T) {
		writeFile(t, path, oldToken, time.Now())
		tokens, err := daisytoken.Load(path, nil)
		assert.NilError(t, err)
		writeFile(t, path, newToken, time.Now().Add(time.Minute))
		assert.Assert(t, tokens.Valid(oldToken))
		time.Sleep(time.Second)
		assert.Assert(t, tokens.Valid(newToken) && !tokens.Valid(oldToken))
		writeFile(t, path, "", time.Now().Add(2*time.Minute))
		time.Sleep(time.Second)
		assert.Assert(t, tokens.Valid(newToken), "the previous tokens stay valid if the file is unusable")
	})
}
