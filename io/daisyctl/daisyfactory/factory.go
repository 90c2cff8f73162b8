// Package daisyfactory provides commands with their dependencies, and with what they share
// in parsing arguments.
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
	"daisyyoke/io/daisyresponse"
)

// requestTimeout bounds one request to the server.
const requestTimeout = 30 * time.Second

// Factory provides the dependencies of commands.
type Factory struct {
	Streams *daisyterminal.Streams
	// Client returns a client for the chosen server. It fails with daisyerror.InvalidSetting.
	Client func() (*daisyoperator.Client, error)
	// Checker reads the configurations of a platform; nil if there are only intents.
	Checker Checker
}

// serverFlags holds the flags that choose the server and identify the operator.
type serverFlags struct {
	address   string
	tokenFile string
	caFile    string
	operator  string
}

// New returns a factory with the standard streams and adds its flags to the root command.
func New(root *cobra.Command) *Factory {
	s := &serverFlags{}
	flags := root.PersistentFlags()
	flags.StringVar(&s.address, "server", envOr("DAISYYOKE_SERVER", "127.0.0.1:8081"), "`IP:PORT` of any VM's operators' address (DAISYYOKE_SERVER)")
	flags.StringVar(&s.tokenFile, "operator-token-file", envOr("DAISYYOKE_OPERATOR_TOKEN_FILE", ""), "`FILE` with the operator token (DAISYYOKE_OPERATOR_TOKEN_FILE)")
	flags.StringVar(&s.caFile, "tls-authority", envOr("DAISYYOKE_TLS_AUTHORITY", ""), "`FILE` with the CA certificates that verify the server; enables TLS (DAISYYOKE_TLS_AUTHORITY)")
	flags.StringVar(&s.operator, "operator", envOr("DAISYYOKE_OPERATOR", userName()), "`NAME` recorded in the audit trail (DAISYYOKE_OPERATOR)")
	return &Factory{Streams: daisyterminal.System(), Client: s.client}
}

func envOr(name, fallback string) string {
	if value, ok := os.LookupEnv(name); ok {
		return value
	}
	return fallback
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (s *serverFlags) client() (*daisyoperator.Client, error) {
	if _, err := netip.ParseAddrPort(s.address); err != nil {
		return nil, daisyerror.InvalidSetting.New("--server: %q: want IP:PORT, for instance 127.0.0.1:8081", s.address)
	}
	options := daisyoperator.ClientOptions{Operator: s.operator, Server: "http://" + s.address}
	transport := &http.Transport{}
	if s.caFile != "" {
		pool, err := readCACertificates(s.caFile)
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
	options.HTTP = &http.Client{Transport: daisyresponse.NewTransport(transport), Timeout: requestTimeout}
	return daisyoperator.NewClient(options), nil
}

// readToken returns the first token of a token file, in the format that VMs read: one token a
// line, with blank lines and lines that start with # skipped.
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

func readCACertificates(name string) (*x509.CertPool, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, daisyerror.InvalidSetting.Wrap(err, "--tls-authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, daisyerror.InvalidSetting.New("--tls-authority: no PEM certificate in %s", name)
	}
	return pool, nil
}
