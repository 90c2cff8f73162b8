// Package daisytls holds the VM's certificate and the authority of its peers,
// and reads them again when their files change.
//
// Peers prove who they are to each other by certificates of one authority.
// Since VMs are replaced at any time and known by IP address, a certificate
// stands for membership and not for a name: any certificate of the authority
// that is valid for clients and servers lets its bearer in.
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

// Files names PEM files. Authority may be empty, and then no peer is let in.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Certificates holds what the files say now. A change is seen by the first handshake
// later than a second after the last look. Files that cannot be used, for
// instance because only one of a pair is replaced yet, leave the former ones in force.
type Certificates struct {
	files  Files
	logger hclog.Logger

	mu      sync.Mutex
	checked time.Time
	stamps  []stamp
	loaded  material
}

// material is one state of the files.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files. It fails with daisyerror.InvalidSetting.
func Load(files Files, logger hclog.Logger) (*Certificates, error) {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	c := &Certificates{files: files, logger: logger, checked: time.Now()}
	stamps, err := c.examine()
	if err != nil {
		return nil, daisyerror.InvalidSetting.Wrap(err, "--tls-certificate, --tls-key or --tls-authority")
	}
	loaded, err := files.read()
	if err != nil {
		return nil, err
	}
	c.stamps, c.loaded = stamps, loaded
	return c, nil
}

// NotAfter gives when the certificate in use expires.
func (c *Certificates) NotAfter() time.Time { return c.current().certificate.Leaf.NotAfter }

func (f Files) read() (material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return material{}, daisyerror.InvalidSetting.Wrap(err, "--tls-certificate and --tls-key")
	}
	m := material{certificate: &certificate, authority: x509.NewCertPool()}
	if f.Authority == "" {
		return m, nil
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return material{}, daisyerror.InvalidSetting.Wrap(err, "--tls-authority")
	}
	if !m.authority.AppendCertsFromPEM(pem) {
		return material{}, daisyerror.InvalidSetting.New("--tls-authority: no certificate in %s", f.Authority)
	}
	return m, nil
}

func (c *Certificates) examine() ([]stamp, error) {
	var stamps []stamp
	for _, path := range []string{c.files.Certificate, c.files.Key, c.files.Authority} {
		if path == "" {
			continue
		}
		s, err := stampOf(path)
		if err != nil {
			return nil, err
		}
		stamps = append(stamps, s)
	}
	return stamps, nil
}

// current reads the files again if they have changed.
func (c *Certificates) current() material {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) < checkInterval {
		return c.loaded
	}
	c.checked = time.Now()
	stamps, err := c.examine()
	if err != nil {
		c.logger.Error("certificate files not examined; the former ones stay in force", "error", err)
		return c.loaded
	}
	if slices.Equal(stamps, c.stamps) {
		return c.loaded
	}
	loaded, err := c.files.read()
	if err != nil {
		c.logger.Error("certificate files not read; the former ones stay in force", "error", err)
		return c.loaded
	}
	c.stamps, c.loaded = stamps, loaded
	c.logger.Info("certificate files read again", "not-after", loaded.certificate.Leaf.NotAfter)
	return c.loaded
}
