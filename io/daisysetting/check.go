package daisysetting

import (
	"net/netip"
	"net/url"

	"github.com/hashicorp/go-hclog"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

// embedded is the value of --platform that selects an in-memory platform.
const embedded = "embedded"

// Check parses and validates the flags. It fails with daisyerror.InvalidSetting, whose
// message names the first invalid flag.
func (f *Flags) Check() (Settings, error) {
	c := &checker{}
	s := Settings{
		VM:                daisyvm.Name(c.name("vm", f.vm)),
		Zone:              c.zone("availability-zone", f.zone),
		Callers:           c.address("callers", f.callers),
		Operators:         c.address("operators", f.operators),
		Peers:             c.optionalAddress("peers", f.peers),
		Advertise:         c.optionalAddress("advertise", f.advertise),
		Platform:          c.platform(f.platform, f.intentFile),
		LogLevel:          c.logLevel(f.logLevel),
		OperatorTokenFile: f.tokenFile,
		TLSCertificate:    f.certFile,
		TLSKey:            f.keyFile,
		TLSAuthority:      f.authorityFile,
	}
	for _, a := range f.seeds {
		s.Seeds = append(s.Seeds, c.address("peer", a))
	}
	c.checkCombinations(s)
	s.Advertise = c.advertiseAddress(s)
	return s, c.err
}

// checker parses the values of flags and keeps the first error.
type checker struct{ err error }

func (c *checker) fail(flag, format string, args ...any) {
	if c.err == nil {
		c.err = daisyerror.InvalidSetting.New("--"+flag+": "+format, args...)
	}
}

func (c *checker) name(flag, text string) string {
	if !daisyfleet.ValidName(text) {
		c.fail(flag, "%q: want a name in kebab case", text)
	}
	return text
}

func (c *checker) zone(flag, text string) daisyfleet.ZoneID {
	zone, err := daisyfleet.ParseZoneID(text)
	if err != nil {
		c.fail(flag, "%q: want FLEET/NAME, for instance vigia-lar/lisboa-1", text)
	}
	return zone
}

func (c *checker) address(flag, text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		c.fail(flag, "%q: want IP:PORT, for instance 127.0.0.1:8080", text)
	}
	return address
}

func (c *checker) optionalAddress(flag, text string) netip.AddrPort {
	if text == "" {
		return netip.AddrPort{}
	}
	return c.address(flag, text)
}

func (c *checker) platform(text, intent string) Platform {
	if text == embedded {
		return EmbeddedPlatform{IntentFile: intent}
	}
	if intent != "" {
		c.fail("intent", "is allowed with --platform embedded only; on other platforms use daisyctl plan create")
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.fail("platform", "%q: want the http or https URL of the platform's service, or embedded", text)
	}
	return RemotePlatform{URL: text}
}

func (c *checker) logLevel(text string) hclog.Level {
	level := hclog.LevelFromString(text)
	if level == hclog.NoLevel || level == hclog.Off {
		c.fail("log-level", "%q: want trace, debug, info, warn or error", text)
	}
	return level
}

// checkCombinations reports flags that require other flags.
func (c *checker) checkCombinations(s Settings) {
	if (s.TLSCertificate == "") != (s.TLSKey == "") {
		c.fail("tls-certificate", "has to be set together with --tls-key")
	}
	if s.TLSAuthority != "" && s.TLSCertificate == "" {
		c.fail("tls-authority", "requires --tls-certificate and --tls-key")
	}
	if s.Peers.IsValid() && !s.Peers.Addr().IsLoopback() && s.TLSAuthority == "" {
		c.fail("tls-authority", "required because --peers %s is not a loopback address", s.Peers)
	}
	if s.Operators.Addr().IsLoopback() || c.err != nil {
		return
	}
	if s.OperatorTokenFile == "" {
		c.fail("operator-token-file", "required because --operators %s is not a loopback address", s.Operators)
	}
	if s.TLSCertificate == "" {
		c.fail("tls-certificate", "required because --operators %s is not a loopback address", s.Operators)
	}
}

// advertiseAddress returns the address that is handed out to callers: that of --advertise, or
// else that of --callers.
func (c *checker) advertiseAddress(s Settings) netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	if s.Callers.Addr().IsUnspecified() {
		c.fail("advertise", "required because --callers %s is not a single address", s.Callers)
	}
	return s.Callers
}
