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

// Untrusted is the type of errors for a peer whose certificate is missing, expired or
// issued by another authority.
var Untrusted = daisyerror.Unauthorized.NewSubtype("untrusted-certificate")

// ServerConfig returns the configuration of the operators' listener: the VM presents its
// certificate and requests no client certificate.
func (c *Certificates) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current().certificate, nil
		},
	}
}

// peerServerConfig returns a configuration that requires a client certificate of the
// current authority.
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

// peerClientConfig returns a configuration that verifies the server against the current
// authority. It replaces the standard verification, which requires a name or an address
// in the certificate; the certificate of a VM may contain neither.
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
		return Untrusted.New("the peer sent no certificate")
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
		return Untrusted.Wrap(err, "verify the certificate of the peer")
	}
	return nil
}

// ListenPeers returns a TLS listener that accepts only peers with a certificate of the authority.
func (c *Certificates) ListenPeers(listener net.Listener) net.Listener {
	return tls.NewListener(listener, c.peerServerConfig())
}

// PeerDialer connects to peers over mutual TLS.
type PeerDialer struct {
	Certificates *Certificates
	Dialer       daisypeer.TCPDialer
}

// Dial connects to a peer and completes the TLS handshake. It fails with
// daisypeer.Broken if the connection cannot be established, and with Untrusted if
// the handshake fails.
func (d PeerDialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	secure := tls.Client(conn, d.Certificates.peerClientConfig())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, Untrusted.Wrap(err, "TLS handshake with %s", address)
	}
	return secure, nil
}
