// Package daisytoken checks operators' tokens against a file, which is read
// again when it changes.
//
// The file has one token a line; blank lines and those that begin with # count
// for nothing. Several tokens are valid at once, so that one can be replaced
// without a gap.
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
	// checkInterval is the least time between two looks at the file.
	checkInterval = time.Second
	// minLength is the shortest token that is accepted, in bytes.
	minLength = 16
)

type digest [sha256.Size]byte

// Tokens holds the tokens of a file.
type Tokens struct {
	path   string
	logger hclog.Logger

	mu       sync.Mutex
	checked  time.Time
	modified time.Time
	size     int64
	digests  []digest
}

// Load reads the file. It fails with daisyerror.InvalidSetting, also for a file
// without a token and for a token shorter than 16 bytes.
func Load(path string, logger hclog.Logger) (*Tokens, error) {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	t := &Tokens{path: path, logger: logger, checked: time.Now()}
	if err := t.read(); err != nil {
		return nil, err
	}
	return t, nil
}

// Valid says whether the file has the token. The time it takes says nothing of the tokens.
func (t *Tokens) Valid(token string) bool {
	given := digest(sha256.Sum256([]byte(token)))
	match := 0
	for _, d := range t.current() {
		match |= subtle.ConstantTimeCompare(given[:], d[:])
	}
	return match == 1
}

func (t *Tokens) current() []digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.checked) < checkInterval {
		return t.digests
	}
	t.checked = time.Now()
	info, err := os.Stat(t.path)
	if err == nil && info.ModTime().Equal(t.modified) && info.Size() == t.size {
		return t.digests
	}
	if err := t.read(); err != nil {
		t.logger.Error("token file not read; the former tokens stay valid", "error", err)
		return t.digests
	}
	t.logger.Info("token file read again", "tokens", len(t.digests))
	return t.digests
}

// read changes nothing when it fails.
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
			return daisyerror.InvalidSetting.New("--operator-token-file: a token of %d bytes; want at least %d", len(token), minLength)
		}
		digests = append(digests, sha256.Sum256(token))
	}
	if len(digests) == 0 {
		return daisyerror.InvalidSetting.New("--operator-token-file: no token in %s", t.path)
	}
	t.modified, t.size, t.digests = info.ModTime(), info.Size(), digests
	return nil
}
