// Package daisytls holds the TLS certificate of a VM and the certificate authority
// of its peers, and reloads them when their files change.
//
// VMs authenticate each other with certificates of one authority. Because VMs are
// replaced at any time and are known by IP address, a certificate proves
// membership and not a name: any certificate of the authority that is valid for
// client and server authentication is accepted.
package daisytls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
)

// Files contains the paths of the PEM files. If Authority is empty, no peer is accepted.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Certificates holds the certificates that were loaded from the files. A handshake or
// a call of NotAfter checks the files for changes if at least a second has passed since
// the last check. If the changed files are unusable, for instance because only one file
// of a pair has been replaced so far, the previous certificates stay in use.
type Certificates struct {
	files  Files
	logger hclog.Logger

	mu        sync.Mutex
	lastCheck time.Time
	states    []fileState
	loaded    credentials
}

// credentials is the parsed content of the files.
type credentials struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files. It fails with daisyerror.InvalidSetting if they are unusable.
func Load(files Files, logger hclog.Logger) (*Certificates, error) {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	c := &Certificates{files: files, logger: logger, lastCheck: time.Now()}
	states, err := c.fileStates()
	if err != nil {
		return nil, daisyerror.InvalidSetting.Wrap(err, "--tls-certificate, --tls-key or --tls-authority")
	}
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	c.states, c.loaded = states, loaded
	return c, nil
}

// NotAfter returns the time at which the certificate in use expires.
func (c *Certificates) NotAfter() time.Time { return c.current().certificate.Leaf.NotAfter }

func (f Files) read() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, daisyerror.InvalidSetting.Wrap(err, "--tls-certificate and --tls-key")
	}
	m := credentials{certificate: &certificate, authority: x509.NewCertPool()}
	if f.Authority == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return credentials{}, daisyerror.InvalidSetting.Wrap(err, "--tls-authority")
	}
	if !m.authority.AppendCertsFromPEM(pem) {
		return credentials{}, daisyerror.InvalidSetting.New("--tls-authority: no certificate in %s", f.Authority)
	}
	return m, nil
}

// fileStates returns the current states of the files without reading them.
func (c *Certificates) fileStates() ([]fileState, error) {
	var states []fileState
	for _, path := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if path == "" {
			continue
		}
		s, err := statFile(path)
		if err != nil {
			return nil, err
		}
		states = append(states, s)
	}
	return states, nil
}

// current returns the credentials in use, after reloading them if the files have changed.
func (c *Certificates) current() credentials {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < checkInterval {
		return c.loaded
	}
	c.lastCheck = time.Now()
	states, err := c.fileStates()
	if err != nil {
		c.logger.Error("cannot stat the certificate files; the previous certificates stay in use", "error", err)
		return c.loaded
	}
	if slices.Equal(states, c.states) {
		return c.loaded
	}
	loaded, err := c.files.read()
	if err != nil {
		c.logger.Error("cannot load the certificate files; the previous certificates stay in use", "error", err)
		return c.loaded
	}
	c.states, c.loaded = states, loaded
	c.logger.Info("certificate files reloaded", "not-after", loaded.certificate.Leaf.NotAfter)
	return c.loaded
}
