// Package daisyintent reads and writes the YAML format in which operators state their intent.
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
	"daisyyoke/core/daisyrank"
)

// MaxSize is the largest intent that is read, in bytes.
const MaxSize = 8 << 20

// Decode reads an intent.
//
// It fails with daisyerror.InvalidIntent, whose message lists every problem with
// its line: unknown and doubled keys, bad units, clashing names, references to
// nothing.
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
	if err := onlyDocument(decoder); err != nil {
		return nil, err
	}
	if document.Kind != yaml.DocumentNode || len(document.Content) != 1 {
		return nil, daisyerror.InvalidIntent.New("line 1: the intent is empty")
	}
	return document.Content[0], nil
}

func onlyDocument(decoder *yaml.Decoder) error {
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
	names := newNames(d, "fleet")
	for _, n := range d.sequence(root, f, "fleets") {
		fleet := d.fleet(n, names)
		intent.Fleets = append(intent.Fleets, fleet)
	}
	return intent
}

func (d *decoder) fleet(n *yaml.Node, names *names) daisyconfig.Fleet {
	f := d.mapping(n, "a fleet", "name", "availability-zones", "ranks", "services")
	fleet := daisyconfig.Fleet{Name: daisyfleet.Name(d.name(n, f, "name"))}
	names.add(f["name"], string(fleet.Name))
	fleet.AvailabilityZones = d.availabilityZones(n, f, fleet.Name)
	fleet.Ranks = d.ranks(n, f)
	services := newNames(d, "service")
	for _, s := range d.sequence(n, f, "services") {
		fleet.Services = append(fleet.Services, d.service(s, fleet, services))
	}
	return fleet
}

func (d *decoder) availabilityZones(n *yaml.Node, f fields, fleet daisyfleet.Name) []daisyfleet.AvailabilityZone {
	var zones []daisyfleet.AvailabilityZone
	names := newNames(d, "availability zone")
	for _, c := range d.sequence(n, f, "availability-zones") {
		z := d.mapping(c, "an availability zone", "name", "city")
		name := d.name(c, z, "name")
		names.add(z["name"], name)
		id := daisyfleet.ZoneID{Fleet: fleet, Zone: name}
		zones = append(zones, daisyfleet.AvailabilityZone{ID: id, City: d.optionalText(z, "city")})
	}
	return zones
}

func (d *decoder) ranks(n *yaml.Node, f fields) []daisyrank.Rank {
	var ranks []daisyrank.Rank
	names := newNames(d, "rank")
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

type decoder struct{ problems []problem }

type problem struct {
	line int
	text string
}

func (d *decoder) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].line < d.problems[j].line })
	return daisyerror.InvalidIntent.New("%s", joinProblems(d.problems))
}
