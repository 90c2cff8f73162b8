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

// access says who may come in; nil parts stand for what the settings leave out.
type access struct {
	certificates *daisytls.Certificates
	// mutual says that peers show certificates to each other.
	mutual bool
	tokens *daisytoken.Tokens
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
	d.access.mutual = s.TLSAuthority != ""
	d.metrics.AddGauge("daisyyoke_certificate_expires_seconds", "Time until the certificate expires.", func() float64 {
		return time.Until(certificates.NotAfter()).Seconds()
	})
	return nil
}

func (a access) listenPeers(l net.Listener) net.Listener {
	if !a.mutual {
		return l
	}
	return a.certificates.ListenPeers(l)
}

func (a access) peerDialer() daisypeer.Dialer {
	if !a.mutual {
		return daisypeer.TCPDialer{}
	}
	return daisytls.PeerDialer{Certificates: a.certificates}
}

func (a access) listenOperators(l net.Listener) net.Listener {
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
