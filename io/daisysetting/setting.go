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

// Settings are the checked settings of one daemon.
type Settings struct {
	VM        daisyvm.Name
	Zone      daisyfleet.ZoneID
	Callers   netip.AddrPort
	Operators netip.AddrPort
	// Peers is the zero value when the VM stands alone.
	Peers     netip.AddrPort
	Advertise netip.AddrPort
	// Seeds are addresses of other VMs to start from when the platform is down.
	Seeds    []netip.AddrPort
	Platform Platform
	LogLevel hclog.Level
	// OperatorTokenFile, TLSCertificate, TLSKey and TLSAuthority are file names; empty when not set.
	OperatorTokenFile string
	TLSCertificate    string
	TLSKey            string
	TLSAuthority      string
}

// Platform says where the platform's service is. It is one of RemotePlatform and EmbeddedPlatform.
type Platform interface{ platform() }

// RemotePlatform is the platform's service at a URL.
type RemotePlatform struct{ URL string }

// EmbeddedPlatform is an in-memory platform within the process.
type EmbeddedPlatform struct {
	// IntentFile is confirmed at start; empty for none.
	IntentFile string
}

func (RemotePlatform) platform()   {}
func (EmbeddedPlatform) platform() {}

// Flags are the flags before they are checked.
type Flags struct {
	set       *pflag.FlagSet
	vm        string
	zone      string
	callers   string
	operators string
	peers     string
	advertise string
	seeds     []string
	platform  string
	intent    string
	logLevel  string
	token     string
	cert      string
	key       string
	authority string
}

// EnvironmentPrefix starts the name of every environment variable; the rest is
// the flag's name in upper case with underscores.
const EnvironmentPrefix = "DAISYYOKE_"

// Bind adds the daemon's flags to a set.
func Bind(set *pflag.FlagSet) *Flags {
	f := &Flags{set: set}
	set.StringVar(&f.vm, "vm", "", "`NAME` of this VM")
	set.StringVar(&f.zone, "availability-zone", "", "where this VM runs, as `FLEET/NAME`")
	set.StringVar(&f.callers, "callers", "127.0.0.1:8080", "`IP:PORT` for callers, HTTP/1.1 and cleartext HTTP/2")
	set.StringVar(&f.operators, "operators", "127.0.0.1:8081", "`IP:PORT` for operators, health checks and metrics")
	set.StringVar(&f.peers, "peers", "", "`IP:PORT` for the other VMs; none when this VM stands alone")
	set.StringVar(&f.advertise, "advertise", "", "callers' `IP:PORT` that is handed out (default: that of --callers)")
	set.StringSliceVar(&f.seeds, "peer", nil, "`IP:PORT` of another VM to start from while the platform is down; repeatable")
	set.StringVar(&f.platform, "platform", "", "`URL` of the platform's service, or the word embedded")
	set.StringVar(&f.intent, "intent", "", "`FILE` with the intent to confirm at start, with --platform embedded only")
	set.StringVar(&f.logLevel, "log-level", "info", "trace, debug, info, warn or error")
	set.StringVar(&f.token, "operator-token-file", "", "`FILE` with the token that operators send")
	set.StringVar(&f.cert, "tls-certificate", "", "`FILE` with this VM's certificate, PEM")
	set.StringVar(&f.key, "tls-key", "", "`FILE` with the key of the certificate, PEM")
	set.StringVar(&f.authority, "tls-authority", "", "`FILE` with the authority that signed the VMs' certificates, PEM")
	return f
}

// ReadEnvironment gives every flag that was not set on the command line the value
// of its environment variable. It fails with daisyerror.InvalidSetting.
func (f *Flags) ReadEnvironment() error {
	var failure error
	f.set.VisitAll(func(g *pflag.Flag) {
		name := EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(g.Name, "-", "_"))
		value, ok := os.LookupEnv(name)
		if !ok || g.Changed || failure != nil {
			return
		}
		if err := f.set.Set(g.Name, value); err != nil {
			failure = daisyerror.InvalidSetting.Wrap(err, "--%s (%s)", g.Name, name)
		}
	})
	return failure
}
