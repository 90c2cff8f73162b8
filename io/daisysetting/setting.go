// Package daisysetting reads the settings of the daemon from flags and
// environment variables.
package daisysetting

import (
	"net/netip"
	"os"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/spf13/pflag"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

// Settings holds the validated settings of a daemon.
type Settings struct {
	VM        daisyvm.Name
	Zone      daisyfleet.ZoneID
	Callers   netip.AddrPort
	Operators netip.AddrPort
	// Peers is the zero value if the VM has no links to other VMs.
	Peers     netip.AddrPort
	Advertise netip.AddrPort
	// Seeds are the addresses of other VMs to contact at start while the platform is down.
	Seeds    []netip.AddrPort
	Platform Platform
	LogLevel hclog.Level
	// OperatorTokenFile, TLSCertificate, TLSKey and TLSAuthority are file names, or empty
	// if not set.
	OperatorTokenFile string
	TLSCertificate    string
	TLSKey            string
	TLSAuthority      string
}

// Platform selects the platform's service. It is one of RemotePlatform and EmbeddedPlatform.
type Platform interface{ platform() }

// RemotePlatform is a platform's service that is reached at a URL.
type RemotePlatform struct{ URL string }

// EmbeddedPlatform is an in-memory platform inside the daemon.
type EmbeddedPlatform struct {
	// IntentFile is the file with the intent to confirm at start; empty for none.
	IntentFile string
}

func (RemotePlatform) platform()   {}
func (EmbeddedPlatform) platform() {}

// Flags holds the values of the daemon's flags before validation.
type Flags struct {
	flagSet       *pflag.FlagSet
	vm            string
	zone          string
	callers       string
	operators     string
	peers         string
	advertise     string
	seeds         []string
	platform      string
	intentFile    string
	logLevel      string
	tokenFile     string
	certFile      string
	keyFile       string
	authorityFile string
}

// EnvironmentPrefix is the prefix of the environment variables. The rest of a name is
// the flag's name in upper case, with underscores for hyphens.
const EnvironmentPrefix = "DAISYYOKE_"

// Bind defines the daemon's flags in a flag set.
func Bind(set *pflag.FlagSet) *Flags {
	f := &Flags{flagSet: set}
	set.StringVar(&f.vm, "vm", "", "`NAME` of this VM")
	set.StringVar(&f.zone, "availability-zone", "", "where this VM runs, as `FLEET/NAME`")
	set.StringVar(&f.callers, "callers", "127.0.0.1:8080", "`IP:PORT` for callers, HTTP/1.1 and cleartext HTTP/2")
	set.StringVar(&f.operators, "operators", "127.0.0.1:8081", "`IP:PORT` for operators, health checks and metrics")
	set.StringVar(&f.peers, "peers", "", "`IP:PORT` for the other VMs; none when this VM stands alone")
	set.StringVar(&f.advertise, "advertise", "", "callers' `IP:PORT` that is handed out (default: that of --callers)")
	set.StringSliceVar(&f.seeds, "peer", nil, "`IP:PORT` of another VM to start from while the platform is down; repeatable")
	set.StringVar(&f.platform, "platform", "", "`URL` of the platform's service, or the word embedded")
	set.StringVar(&f.intentFile, "intent", "", "`FILE` with the intent to confirm at start, with --platform embedded only")
	set.StringVar(&f.logLevel, "log-level", "info", "trace, debug, info, warn or error")
	set.StringVar(&f.tokenFile, "operator-token-file", "", "`FILE` with the token that operators send")
	set.StringVar(&f.certFile, "tls-certificate", "", "`FILE` with this VM's certificate, PEM")
	set.StringVar(&f.keyFile, "tls-key", "", "`FILE` with the key of the certificate, PEM")
	set.StringVar(&f.authorityFile, "tls-authority", "", "`FILE` with the authority that signed the VMs' certificates, PEM")
	return f
}

// ReadEnvironment sets each flag that was not set on the command line to the value of its
// environment variable, if there is one. It fails with daisyerror.InvalidSetting.
func (f *Flags) ReadEnvironment() error {
	var failure error
	f.flagSet.VisitAll(func(g *pflag.Flag) {
		name := EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(g.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok || g.Changed || failure != nil {
			return
		}
		if err := f.flagSet.Set(g.Name, value); err != nil {
			failure = daisyerror.InvalidSetting.Wrap(err, "--%s (%s)", g.Name, name)
		}
	})
	return failure
}
