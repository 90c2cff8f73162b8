package daisytls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisypeer"
)

// Untrusted marks a peer whose certificate is missing, expired or of another authority.
var Untrusted = daisyerror.Unauthorized.NewSubtype("untrusted-certificate")

// ServerConfig is for operators: the VM shows its certificate and asks for none.
func (c *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
	}
}

// peerServerConfig asks every client for a certificate of the authority in force.
func (c *Certificates) peerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*m.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.authority,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// peerClientConfig verifies the server against the authority in force. The
// standard verification wants a name or an address, which a certificate of a VM need not have.
func (c *Certificates) peerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true,
		VerifyConnection:   c.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
	}
}

func (c *Certificates) verifyServer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return Untrusted.New("no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         c.current().authority,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, x := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(x)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return Untrusted.Wrap(err, "certificate of the peer")
	}
	return nil
}

// ListenPeers gives a listener that lets only peers with a certificate in.
func (c *Certificates) ListenPeers(listener net.Listener) net.Listener {
	return tls.NewListener(listener, c.peerServerConfig())
}

// PeerDialer dials peers over mutual TLS.
type PeerDialer struct {
	Certificates *Certificates
	Dialer       daisypeer.TCPDialer
}

// Dial connects and shakes hands. It fails with daisypeer.Broken and with Untrusted.
func (d PeerDialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	secure := tls.Client(conn, d.Certificates.peerClientConfig())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, Untrusted.Wrap(err, "handshake with %s", address)
	}
	return secure, nil
}
