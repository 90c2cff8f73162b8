package daisyintent_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyintent"
)

const valid = `fleets:
  - name: vigia-lar
    availability-zones:
      - {name: a, city: lisboa}
    ranks:
      - {name: urgent, target: 250ms, worth: 100, floor: 0.5}
      - {name: bulk, target: 10m, worth: 1, floor: 0.05}
    services:
      - name: lookups
        ranks: [bulk, urgent]
        default-rank: bulk
        protocol: http2
        endpoints:
          - {address: "127.0.0.1:9001", availability-zone: a, slots: 3, connections: 250}
`

func TestDecode(t *testing.T) {
	intent, err := daisyintent.Decode(strings.NewReader(valid))
	assert.NilError(t, err)
	s := intent.Fleets[0].Services[0]
	assert.Equal(t, s.ID.String(), "vigia-lar/lookups")
	assert.Equal(t, string(s.Ranks[0].Name), "urgent", "ranks follow the fleet's order of urgency")
	assert.Equal(t, int(s.DefaultRank), 1)
	assert.Equal(t, s.Ranks[1].Target, 10*time.Minute)
	assert.Equal(t, s.Endpoints[0].Zone.String(), "vigia-lar/a")
	assert.Equal(t, s.Endpoints[0].Slots, 3)
	assert.Equal(t, s.Protocol, daisyservice.HTTP2)
}

// Guards against a zone that is declared evacuated and whose endpoints get work, or that is
// forgotten when the intent is shown.
func TestEvacuatedZone(t *testing.T) {
	intent, err := daisyintent.Decode(strings.NewReader(strings.Replace(valid, "city: lisboa", "city: lisboa, evacuated: true", 1)))
	assert.NilError(t, err)
	assert.Assert(t, intent.Fleets[0].Services[0].Endpoints[0].Evacuated)
	text, err := daisyintent.Encode(intent)
	assert.NilError(t, err)
	assert.Check(t, is.Contains(string(text), `{name: a, city: "lisboa", evacuated: true}`))
}

func TestDecodeReportsLineOfProblem(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"empty", valid, "", "line 1: the intent is empty"},
		{"not a mapping", valid, "- 1\n", "line 1: the intent has to be a mapping"},
		{"invalid YAML", "fleets:", "fleets: [", "line"},
		{"second document", valid, valid + "---\nfleets: []\n", "a second document"},
		{"unknown key", "worth: 100", "wroth: 100", `line 6: a rank has no key "wroth"`},
		{"duplicate key", "worth: 100", "worth: 100, worth: 2", `line 6: key "worth" stands twice`},
		{"missing key", ", slots: 3", "", `line 14: key "slots" is missing`},
		{"duration without unit", "250ms", "250", `line 6: target "250"`},
		{"evacuated not a flag", "city: lisboa", "city: lisboa, evacuated: soon", `line 4: evacuated "soon"`},
		{"negative target", "250ms", "-1s", `line 6: target "-1s"`},
		{"floor over 1", "floor: 0.5", "floor: 1.5", `line 6: floor "1.5"`},
		{"floor not a number", "floor: 0.5", "floor: .nan", `line 6: floor ".nan"`},
		{"duplicate rank", "name: bulk", "name: urgent", `line 7: rank "urgent" stands already on line 6`},
		{"undeclared rank", "[bulk, urgent]", "[bulk, prompt]", `line 10: the fleet has no rank "prompt"`},
		{"default rank not among the ranks", "[bulk, urgent]", "[urgent]", `line 11: default-rank "bulk"`},
		{"unknown protocol", "http2", "spdy", `line 12: protocol "spdy"`},
		{"undeclared zone", "availability-zone: a", "availability-zone: b", `line 14: the fleet has no availability zone "b"`},
		{"host name as address", "127.0.0.1:9001", "localhost:9001", `line 14: address "localhost:9001"`},
		{"unspecified address", "127.0.0.1:9001", "0.0.0.0:9001", `line 14: address "0.0.0.0:9001"`},
		{"zero slots", "slots: 3", "slots: 0", `line 14: slots "0"`},
		{"invalid name", "name: lookups", "name: Look_Ups", `line 9: name "Look_Ups"`},
		{"alias", "floor: 0.05", "floor: *x", "unknown anchor"},
		{"no endpoints", "        endpoints:\n", "        endpoints: []\n#", "line 13: endpoints is empty"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			_, err := daisyintent.Decode(strings.NewReader(text))
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidIntent), "%v", err)
			assert.Check(t, is.Contains(err.Error(), c.want))
		})
	}
}

func TestDecodeSortsProblemsByLine(t *testing.T) {
	text := strings.NewReplacer("250ms", "250", "slots: 3", "slots: x").Replace(valid)
	_, err := daisyintent.Decode(strings.NewReader(text))
	first := strings.Index(err.Error(), "line 6")
	second := strings.Index(err.Error(), "line 14")
	assert.Assert(t, first >= 0 && second > first, "%v", err)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(strings.Replace(valid, "city: lisboa", "city: lisboa, evacuated: true", 1)))
	f.Add([]byte("fleets: &a [*a]"))
	f.Add([]byte("fleets:\n  - {}\n"))
	f.Add([]byte("{fleets: [{name: a, availability-zones: [], ranks: [{}], services: [[]]}]}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		intent, err := daisyintent.Decode(bytes.NewReader(text))
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidIntent))
			return
		}
		encoded, err := daisyintent.Encode(intent)
		assert.NilError(t, err)
		again, err := daisyintent.Decode(bytes.NewReader(encoded))
		assert.NilError(t, err, "%s", encoded)
		assert.DeepEqual(t, fmt.Sprint(again), fmt.Sprint(intent))
	})
}

func ExampleDecode() {
	_, err := daisyintent.Decode(strings.NewReader("fleets:\n  - nam: vigia-lar\n    name: vigia-lar\n"))
	message, _, _ := strings.Cut(errorx.Cast(err).Message(), "\n")
	fmt.Println(message)
	// Output: line 2: a fleet has no key "nam"; it knows name, availability-zones, ranks, services
}
