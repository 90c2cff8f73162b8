// Package daisytoken checks operators' tokens against a file, which is reloaded
// when it changes.
//
// The file contains one token per line; blank lines and lines that begin with # are
// ignored. All tokens of the file are valid at the same time, so that a token can be
// replaced without a period in which neither the old nor the new one is valid.
package daisytoken

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"os"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
)

const (
	// checkInterval is the minimum time between two checks of the file for changes.
	checkInterval = time.Second
	// minLength is the minimum length of a token in bytes.
	minLength = 16
)

type digest [sha256.Size]byte

// Tokens is the set of tokens in a file. Only their digests are kept.
type Tokens struct {
	path   string
	logger hclog.Logger

	mu        sync.Mutex
	lastCheck time.Time
	modified  time.Time
	size      int64
	digests   []digest
}

// Load reads the file. It fails with daisyerror.InvalidSetting if the file cannot be
// read, contains no token, or contains a token shorter than 16 bytes.
func Load(path string, logger hclog.Logger) (*Tokens, error) {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	t := &Tokens{path: path, logger: logger, lastCheck: time.Now()}
	if err := t.read(); err != nil {
		return nil, err
	}
	return t, nil
}

// Valid reports whether the file contains the token. It compares in constant time, so
// that its duration reveals nothing about the tokens.
func (t *Tokens) Valid(token string) bool {
	given := digest(sha256.Sum256([]byte(token)))
	match := 0
	for _, d := range t.current() {
		match |= subtle.ConstantTimeCompare(given[:], d[:])
	}
	return match == 1
}

// current returns the digests in use, after reloading the file if it has changed.
func (t *Tokens) current() []digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.lastCheck) < checkInterval {
		return t.digests
	}
	t.lastCheck = time.Now()
	info, err := os.Stat(t.path)
	if err == nil && info.ModTime().Equal(t.modified) && info.Size() == t.size {
		return t.digests
	}
	if err := t.read(); err != nil {
		t.logger.Error("cannot load the token file; the previous tokens stay valid", "error", err)
		return t.digests
	}
	t.logger.Info("token file reloaded", "tokens", len(t.digests))
	return t.digests
}

// read loads the file. If it fails, t is unchanged.
func (t *Tokens) read() error {
	info, err := os.Stat(t.path)
	if err != nil {
		return daisyerror.InvalidSetting.Wrap(err, "--operator-token-file")
	}
	content, err := os.ReadFile(t.path)
	if err != nil {
		return daisyerror.InvalidSetting.Wrap(err, "--operator-token-file")
	}
	var digests []digest
	for line := range bytes.Lines(content) {
		token := bytes.TrimSpace(line)
		if len(token) == 0 || token[0] == '#' {
			continue
		}
		if len(token) < minLength {
			return daisyerror.InvalidSetting.New("--operator-token-file: token has %d bytes; want at least %d", len(token), minLength)
		}
		digests = append(digests, sha256.Sum256(token))
	}
	if len(digests) == 0 {
		return daisyerror.InvalidSetting.New("--operator-token-file: no token in %s", t.path)
	}
	t.modified, t.size, t.digests = info.ModTime(), info.Size(), digests
	return nil
}
