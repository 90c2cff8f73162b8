// Package daisyfactory passes the dependencies and the streams into commands.
package daisyfactory

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyctl/daisyterminal"
	"daisyyoke/io/daisyoperator"
)

// timeout bounds one request to a server.
const timeout = 30 * time.Second

// Factory gives commands what they depend on.
type Factory struct {
	Streams *daisyterminal.Streams
	// Client gives the client of the chosen server, or daisyerror.InvalidSetting.
	Client func() (*daisyoperator.Client, error)
}

// server are the settings that choose the server.
type server struct {
	address   string
	tokenFile string
	authority string
	operator  string
}

// New gives the factory of the process and adds its flags to the root command.
func New(root *cobra.Command) *Factory {
	s := &server{}
	flags := root.PersistentFlags()
	flags.StringVar(&s.address, "server", environment("DAISYYOKE_SERVER", "127.0.0.1:8081"), "operators' `IP:PORT` of any VM (DAISYYOKE_SERVER)")
	flags.StringVar(&s.tokenFile, "operator-token-file", environment("DAISYYOKE_OPERATOR_TOKEN_FILE", ""), "`FILE` with the operator token (DAISYYOKE_OPERATOR_TOKEN_FILE)")
	flags.StringVar(&s.authority, "tls-authority", environment("DAISYYOKE_TLS_AUTHORITY", ""), "`FILE` with the authority of the server's certificate; switches TLS on (DAISYYOKE_TLS_AUTHORITY)")
	flags.StringVar(&s.operator, "operator", environment("DAISYYOKE_OPERATOR", userName()), "`NAME` that the audit trail keeps (DAISYYOKE_OPERATOR)")
	return &Factory{Streams: daisyterminal.System(), Client: s.client}
}

func environment(name, absent string) string {
	if value, ok := os.LookupEnv(name); ok {
		return value
	}
	return absent
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (s *server) client() (*daisyoperator.Client, error) {
	if _, err := netip.ParseAddrPort(s.address); err != nil {
		return nil, daisyerror.InvalidSetting.New("--server: %q: want IP:PORT, for instance 127.0.0.1:8081", s.address)
	}
	options := daisyoperator.ClientOptions{Operator: s.operator, Server: "http://" + s.address}
	transport := &http.Transport{}
	if s.authority != "" {
		pool, err := readAuthority(s.authority)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
		options.Server = "https://" + s.address
	}
	if s.tokenFile != "" {
		token, err := readToken(s.tokenFile)
		if err != nil {
			return nil, err
		}
		options.Token = token
	}
	options.HTTP = &http.Client{Transport: transport, Timeout: timeout}
	return daisyoperator.NewClient(options), nil
}

// readToken gives the first token of a file in the format that VMs read.
func readToken(name string) (string, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return "", daisyerror.InvalidSetting.Wrap(err, "--operator-token-file")
	}
	for line := range strings.Lines(string(text)) {
		if token := strings.TrimSpace(line); token != "" && token[0] != '#' {
			return token, nil
		}
	}
	return "", daisyerror.InvalidSetting.New("--operator-token-file: no token in %s", name)
}

func readAuthority(name string) (*x509.CertPool, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, daisyerror.InvalidSetting.Wrap(err, "--tls-authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, daisyerror.InvalidSetting.New("--tls-authority: %s holds no PEM certificate", name)
	}
	return pool, nil
}
