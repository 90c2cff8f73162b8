package daisydaemon

import (
	"crypto/tls"
	"net"
	"time"

	"daisyyoke/io/daisyoperator"
	"daisyyoke/io/daisypeer"
	"daisyyoke/io/daisytls"
	"daisyyoke/io/daisytoken"
)

// access contains the TLS certificates of the VM and the tokens of operators. A field is
// nil if the settings do not configure it.
type access struct {
	certificates *daisytls.Certificates
	// mutualTLS reports whether VMs authenticate each other by certificates.
	mutualTLS bool
	tokens    *daisytoken.Tokens
}

func (d *Daemon) loadAccess() error {
	s := d.settings
	if s.OperatorTokenFile != "" {
		tokens, err := daisytoken.Load(s.OperatorTokenFile, d.logger)
		if err != nil {
			return err
		}
		d.access.tokens = tokens
	}
	if s.TLSCertificate == "" {
		return nil
	}
	files := daisytls.Files{Certificate: s.TLSCertificate, Key: s.TLSKey, Authority: s.TLSAuthority}
	certificates, err := daisytls.Load(files, d.logger)
	if err != nil {
		return err
	}
	d.access.certificates = certificates
	d.access.mutualTLS = s.TLSAuthority != ""
	d.metrics.AddGauge("daisyyoke_certificate_expires_seconds", "Time until the certificate expires.", func() float64 {
		return time.Until(certificates.NotAfter()).Seconds()
	})
	return nil
}

func (a access) peerListener(l net.Listener) net.Listener {
	if !a.mutualTLS {
		return l
	}
	return a.certificates.ListenPeers(l)
}

func (a access) peerDialer() daisypeer.Dialer {
	if !a.mutualTLS {
		return daisypeer.TCPDialer{}
	}
	return daisytls.PeerDialer{Certificates: a.certificates}
}

func (a access) operatorListener(l net.Listener) net.Listener {
	if a.certificates == nil {
		return l
	}
	return tls.NewListener(l, a.certificates.ServerConfig())
}

func (a access) operatorFilters() []daisyoperator.Filter {
	filters := []daisyoperator.Filter{daisyoperator.LimitBody{}}
	if a.tokens != nil {
		filters = append(filters, daisyoperator.Authorize{Tokens: a.tokens})
	}
	return filters
}
