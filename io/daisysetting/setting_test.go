package daisysetting_test

import (
	"testing"

	"github.com/joomcode/errorx"
	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisysetting"
)

func parse(t *testing.T, args ...string) (daisysetting.Settings, error) {
	t.Helper()
	set := pflag.NewFlagSet("daisyd", pflag.ContinueOnError)
	f := daisysetting.Bind(set)
	assert.NilError(t, set.Parse(args))
	if err := f.ReadEnvironment(); err != nil {
		return daisysetting.Settings{}, err
	}
	return f.Check()
}

func TestFlagsAndEnvironment(t *testing.T) {
	t.Setenv("DAISYYOKE_AVAILABILITY_ZONE", "vigia-lar/porto-1")
	t.Setenv("DAISYYOKE_CALLERS", "127.0.0.1:9999")
	s, err := parse(t, "--vm", "vm-1", "--callers", "127.0.0.1:7000", "--platform", "embedded", "--intent", "i.yaml")
	assert.NilError(t, err)
	assert.Equal(t, s.Zone.String(), "vigia-lar/porto-1", "from the environment")
	assert.Equal(t, s.Callers.String(), "127.0.0.1:7000", "a flag overrides the environment")
	assert.Equal(t, s.Advertise, s.Callers)
	assert.Equal(t, s.Platform, daisysetting.EmbeddedPlatform{IntentFile: "i.yaml"})
}

func TestCheckNamesInvalidFlag(t *testing.T) {
	cases := []struct {
		name string
		args []string
		want string
	}{
		{"empty VM name", []string{"--vm", ""}, "--vm:"},
		{"VM name with dots", []string{"--vm", "a.b"}, "--vm:"},
		{"availability zone without fleet", []string{"--availability-zone", "lisboa-1"}, "--availability-zone:"},
		{"address without port", []string{"--callers", "127.0.0.1"}, "--callers:"},
		{"address with host name", []string{"--operators", "localhost:1"}, "--operators:"},
		{"peers", []string{"--peers", "x"}, "--peers:"},
		{"seed", []string{"--peer", "x"}, "--peer:"},
		{"empty platform", []string{"--platform", ""}, "--platform:"},
		{"platform without scheme", []string{"--platform", "127.0.0.1:1"}, "--platform:"},
		{"intent with a remote platform", []string{"--platform", "http://127.0.0.1:1", "--intent", "f"}, "--intent:"},
		{"unknown log level", []string{"--log-level", "loud"}, "--log-level:"},
		{"certificate without key", []string{"--tls-certificate", "c"}, "--tls-certificate:"},
		{"authority without certificate", []string{"--tls-authority", "c"}, "--tls-authority:"},
		{"non-loopback operators without token", []string{"--operators", "10.0.0.1:1"}, "--operator-token-file:"},
		{"non-loopback operators without TLS", []string{"--operators", "10.0.0.1:1", "--operator-token-file", "f"}, "--tls-certificate:"},
		{"non-loopback peers without TLS", []string{"--peers", "10.0.0.1:1"}, "--tls-authority:"},
		{"unspecified callers address without advertise", []string{"--callers", "0.0.0.0:1"}, "--advertise:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			args := append([]string{"--vm", "vm-1", "--availability-zone", "f/z", "--platform", "embedded"}, c.args...)
			_, err := parse(t, args...)
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidSetting), "%v", err)
			assert.Check(t, is.Contains(err.Error(), c.want))
		})
	}
}
