// Package daisyintent decodes and encodes the YAML format in which operators write
// an intent.
package daisyintent

import (
	"bytes"
	"errors"
	"io"
	"sort"

	"go.yaml.in/yaml/v3"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisylint"
	"daisyyoke/core/daisyrank"
)

// MaxSize is the maximum size of the YAML text of an intent, in bytes.
const MaxSize = 8 << 20

// Decode decodes an intent from YAML text of at most MaxSize bytes.
//
// It fails with daisyerror.InvalidIntent. The message lists every problem with its
// line: unknown, duplicate and missing keys, invalid values such as a duration
// without a unit, duplicate names, and references to names that are not declared.
// Text that cannot be parsed as a single YAML document is reported as one problem.
func Decode(r io.Reader) (daisyconfig.Intent, error) {
	root, err := parse(r)
	if err != nil {
		return daisyconfig.Intent{}, err
	}
	d := &decoder{}
	intent := d.intent(root)
	if err := d.err(); err != nil {
		return daisyconfig.Intent{}, err
	}
	return intent, nil
}

// Lint decodes an intent as Decode does, and returns all problems of it with their lines. The
// snapshot is nil if there are any.
func Lint(text []byte) (*daisyconfig.Snapshot, []daisylint.Invalid) {
	root, err := parse(bytes.NewReader(text))
	if err != nil {
		return nil, []daisylint.Invalid{{Text: daisyerror.Text(err)}}
	}
	d := &decoder{}
	intent := d.intent(root)
	if len(d.problems) == 0 {
		return &daisyconfig.Snapshot{Intent: intent}, nil
	}
	d.sortProblems()
	var invalid []daisylint.Invalid
	for _, p := range d.problems {
		invalid = append(invalid, daisylint.Invalid{Line: p.line, Text: p.text})
	}
	return nil, invalid
}

// parse returns the root node of the only YAML document in the text.
func parse(r io.Reader) (*yaml.Node, error) {
	text, err := io.ReadAll(io.LimitReader(r, MaxSize+1))
	if err != nil {
		return nil, daisyerror.InvalidIntent.Wrap(err, "reading the intent")
	}
	if len(text) > MaxSize {
		return nil, daisyerror.InvalidIntent.New("the intent is larger than %d bytes", MaxSize)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, daisyerror.InvalidIntent.New("line 1: the intent is empty")
		}
		return nil, daisyerror.InvalidIntent.Wrap(err, "reading YAML")
	}
	if err := checkEnd(decoder); err != nil {
		return nil, err
	}
	if document.Kind != yaml.DocumentNode || len(document.Content) != 1 {
		return nil, daisyerror.InvalidIntent.New("line 1: the intent is empty")
	}
	return document.Content[0], nil
}

// checkEnd returns an error if the decoder has not reached the end of the text.
func checkEnd(decoder *yaml.Decoder) error {
	var next yaml.Node
	err := decoder.Decode(&next)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return daisyerror.InvalidIntent.Wrap(err, "reading YAML")
	}
	return daisyerror.InvalidIntent.New("line %d: a second document; an intent is one", next.Line)
}

func (d *decoder) intent(root *yaml.Node) daisyconfig.Intent {
	f := d.mapping(root, "the intent", "fleets")
	var intent daisyconfig.Intent
	names := newUniqueNames(d, "fleet")
	for _, n := range d.sequence(root, f, "fleets") {
		fleet := d.fleet(n, names)
		intent.Fleets = append(intent.Fleets, fleet)
	}
	return intent
}

func (d *decoder) fleet(n *yaml.Node, names *uniqueNames) daisyconfig.Fleet {
	f := d.mapping(n, "a fleet", "name", "availability-zones", "ranks", "services")
	fleet := daisyconfig.Fleet{Name: daisyfleet.Name(d.name(n, f, "name"))}
	names.add(f["name"], string(fleet.Name))
	fleet.AvailabilityZones = d.availabilityZones(n, f, fleet.Name)
	fleet.Ranks = d.ranks(n, f)
	serviceNames := newUniqueNames(d, "service")
	for _, s := range d.sequence(n, f, "services") {
		fleet.Services = append(fleet.Services, d.service(s, fleet, serviceNames))
	}
	return fleet
}

func (d *decoder) availabilityZones(n *yaml.Node, f fields, fleet daisyfleet.Name) []daisyfleet.AvailabilityZone {
	var zones []daisyfleet.AvailabilityZone
	names := newUniqueNames(d, "availability zone")
	for _, c := range d.sequence(n, f, "availability-zones") {
		z := d.mapping(c, "an availability zone", "name", "city", "evacuated")
		name := d.name(c, z, "name")
		names.add(z["name"], name)
		id := daisyfleet.ZoneID{Fleet: fleet, Zone: name}
		zones = append(zones, daisyfleet.AvailabilityZone{ID: id, City: d.optionalText(z, "city"), Evacuated: d.optionalFlag(z, "evacuated")})
	}
	return zones
}

func (d *decoder) ranks(n *yaml.Node, f fields) []daisyrank.Rank {
	var ranks []daisyrank.Rank
	names := newUniqueNames(d, "rank")
	for _, c := range d.sequence(n, f, "ranks") {
		m := d.mapping(c, "a rank", "name", "target", "worth", "floor")
		r := daisyrank.Rank{
			Name:   daisyrank.Name(d.name(c, m, "name")),
			Target: d.duration(c, m, "target"),
			Worth:  d.optionalNumber(m, "worth", defaultWorth, 0, maxWorth),
			Floor:  d.optionalNumber(m, "floor", 0, 0, 1),
		}
		names.add(m["name"], string(r.Name))
		ranks = append(ranks, r)
	}
	return ranks
}

// decoder converts YAML nodes to an intent. It collects the problems that it finds
// and continues, so that one Decode reports them all.
type decoder struct{ problems []problem }

type problem struct {
	line int
	text string
}

// err returns the problems in the order of their lines as one error, or nil if there
// are none.
func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	d.sortProblems()
	return daisyerror.InvalidIntent.New("%s", joinProblems(d.problems))
}

func (d *decoder) sortProblems() {
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].line < d.problems[j].line })
}
