package daisytls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisypeer"
	"daisyyoke/io/daisytls"
)

// authority is a certificate authority for a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "daisyyoke test authority"},
		NotBefore:             time.Now().Add(-48 * time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return &authority{certificate: certificate, key: key}
}

// issue writes a certificate issued by a, its key, and the certificate of the
// authority that the holder trusts.
func (a *authority) issue(t *testing.T, dir string, notAfter time.Time, trusted *authority) daisytls.Files {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotBefore:    time.Now().Add(-48 * time.Hour),
		NotAfter:     notAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	files := daisytls.Files{
		Certificate: filepath.Join(dir, "vm.pem"),
		Key:         filepath.Join(dir, "vm-key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", keyDER)
	writePEM(t, files.Authority, "CERTIFICATE", trusted.certificate.Raw)
	return files
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func load(t *testing.T, files daisytls.Files) *daisytls.Certificates {
	t.Helper()
	c, err := daisytls.Load(files, nil)
	assert.NilError(t, err)
	return c
}

// linkRecorder is a receiver that records the names of the VMs whose links were opened.
type linkRecorder struct{ opened chan daisyvm.Name }

func (r linkRecorder) LinkOpened(vm daisyvm.VM) { r.opened <- vm.Name }

func (r linkRecorder) Receive(daisyvm.Name, daisymessage.Message) {}

func startLinks(t *testing.T, name daisyvm.Name, c *daisytls.Certificates) (*daisypeer.Links, linkRecorder, daisyvm.VM) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	vm := daisyvm.VM{Name: name, Incarnation: 1, Peers: listener.Addr().(*net.TCPAddr).AddrPort()}
	r := linkRecorder{opened: make(chan daisyvm.Name, 16)}
	links := daisypeer.NewLinks(daisypeer.Options{
		Self: vm, Listener: c.ListenPeers(listener), Dialer: daisytls.PeerDialer{Certificates: c}, Receiver: r,
	})
	t.Cleanup(links.Close)
	return links, r, vm
}

func TestPeersOfOneAuthorityConnect(t *testing.T) {
	a := newAuthority(t)
	later := time.Now().Add(time.Hour)
	links, _, _ := startLinks(t, "vm-1", load(t, a.issue(t, t.TempDir(), later, a)))
	_, recorder, vm := startLinks(t, "vm-2", load(t, a.issue(t, t.TempDir(), later, a)))
	links.Connect(vm)
	assert.Equal(t, <-recorder.opened, daisyvm.Name("vm-1"))
}

func TestRejectedPeersReceiveNoData(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	later := time.Now().Add(time.Hour)
	_, _, vm := startLinks(t, "vm-1", load(t, ours.issue(t, t.TempDir(), later, ours)))
	expired := load(t, ours.issue(t, t.TempDir(), time.Now().Add(-time.Hour), ours))
	otherIssuer := load(t, theirs.issue(t, t.TempDir(), later, ours))
	otherRoot := load(t, ours.issue(t, t.TempDir(), later, theirs))
	cases := []struct {
		name string
		dial func() (net.Conn, error)
	}{
		{name: "no TLS", dial: func() (net.Conn, error) { return net.Dial("tcp", vm.Peers.String()) }},
		{name: "no certificate", dial: func() (net.Conn, error) {
			return tls.Dial("tcp", vm.Peers.String(), &tls.Config{InsecureSkipVerify: true})
		}},
		{name: "expired certificate", dial: func() (net.Conn, error) {
			return daisytls.PeerDialer{Certificates: expired}.Dial(t.Context(), vm.Peers)
		}},
		{name: "client of another authority", dial: func() (net.Conn, error) {
			return daisytls.PeerDialer{Certificates: otherIssuer}.Dial(t.Context(), vm.Peers)
		}},
		{name: "server of another authority", dial: func() (net.Conn, error) {
			return daisytls.PeerDialer{Certificates: otherRoot}.Dial(t.Context(), vm.Peers)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := c.dial()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			got, err := io.ReadAll(conn)
			assert.Assert(t, len(got) == 0 || c.name == "no TLS" && got[0] == alertRecord, "%d bytes, %v", len(got), err)
		})
	}
}

// alertRecord is the content type of a TLS alert (RFC 8446, 5.1).
const alertRecord = 21

func TestCertificateIsReloaded(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		first := time.Now().Add(time.Hour).Truncate(time.Second)
		second := first.Add(time.Hour)
		files := a.issue(t, dir, first, a)
		c := load(t, files)
		assert.Assert(t, c.NotAfter().Equal(first))
		a.issue(t, dir, second, a)
		changed := time.Now().Add(time.Minute)
		assert.NilError(t, os.Chtimes(files.Certificate, changed, changed))
		assert.Assert(t, c.NotAfter().Equal(first))
		time.Sleep(time.Second)
		assert.Assert(t, c.NotAfter().Equal(second))
		assert.NilError(t, os.WriteFile(files.Key, []byte("truncated"), 0o600))
		time.Sleep(time.Second)
		assert.Assert(t, c.NotAfter().Equal(second), "the previous certificate stays in use if the files are unusable")
	})
}

func TestAuthorityIsReplacedWithoutARestart(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	later := time.Now().Add(time.Hour)
	files := old.issue(t, dir, later, old)
	server := load(t, files)
	_, recorder, vm := startLinks(t, "vm-1", server)
	next.issue(t, dir, later, next)
	changed := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(files.Certificate, changed, changed))
	links, _, _ := startLinks(t, "vm-2", load(t, next.issue(t, t.TempDir(), later, next)))
	links.Connect(vm)
	assert.Equal(t, <-recorder.opened, daisyvm.Name("vm-2"))
}

func TestUnusableFilesAreRejected(t *testing.T) {
	a := newAuthority(t)
	for _, missing := range []string{"vm.pem", "vm-key.pem", "authority.pem"} {
		t.Run(missing, func(t *testing.T) {
			dir := t.TempDir()
			files := a.issue(t, dir, time.Now().Add(time.Hour), a)
			assert.NilError(t, os.WriteFile(filepath.Join(dir, missing), []byte("garbage"), 0o600))
			_, err := daisytls.Load(files, nil)
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidSetting), "%v", err)
		})
	}
}
