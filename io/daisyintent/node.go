package daisyintent

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
)

// fields maps the keys of one YAML mapping to their values.
type fields map[string]*yaml.Node

// addProblem records a problem at the line of a node.
func (d *decoder) addProblem(n *yaml.Node, format string, args ...any) {
	d.problems = append(d.problems, problem{line: n.Line, text: fmt.Sprintf(format, args...)})
}

func joinProblems(problems []problem) string {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, "line "+strconv.Itoa(p.line)+": "+p.text)
	}
	return strings.Join(lines, "\n")
}

// mapping returns the fields of a node that has to be a mapping. It records a problem
// for each key that is not one of the known keys.
func (d *decoder) mapping(n *yaml.Node, description string, knownKeys ...string) fields {
	f := make(fields)
	if n.Kind != yaml.MappingNode {
		d.addProblem(n, "%s has to be a mapping with the keys %s", description, strings.Join(knownKeys, ", "))
		return f
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		d.addField(f, n.Content[i], n.Content[i+1], description, knownKeys)
	}
	return f
}

func (d *decoder) addField(f fields, key, value *yaml.Node, description string, knownKeys []string) {
	if !slices.Contains(knownKeys, key.Value) {
		d.addProblem(key, "%s has no key %q; it knows %s", description, key.Value, strings.Join(knownKeys, ", "))
		return
	}
	if f[key.Value] != nil {
		d.addProblem(key, "key %q stands twice", key.Value)
		return
	}
	if value.Kind == yaml.AliasNode {
		d.addProblem(value, "key %q: YAML aliases are not read", key.Value)
	}
	f[key.Value] = value
}

// required returns the value of a key. It records a problem if the key is missing.
func (d *decoder) required(parent *yaml.Node, f fields, key string) *yaml.Node {
	n := f[key]
	if n == nil && parent.Kind == yaml.MappingNode {
		d.addProblem(parent, "key %q is missing", key)
	}
	return n
}

func (d *decoder) sequence(parent *yaml.Node, f fields, key string) []*yaml.Node {
	n := d.required(parent, f, key)
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		d.addProblem(n, "%s has to be a list", key)
		return nil
	}
	if len(n.Content) == 0 {
		d.addProblem(n, "%s is empty", key)
	}
	return n.Content
}

func (d *decoder) text(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode {
		d.addProblem(n, "want a single value")
		return ""
	}
	return n.Value
}

func (d *decoder) optionalText(f fields, key string) string {
	if f[key] == nil {
		return ""
	}
	return d.text(f[key])
}

func (d *decoder) name(parent *yaml.Node, f fields, key string) string {
	n := d.required(parent, f, key)
	if n == nil {
		return ""
	}
	text := d.text(n)
	if !daisyfleet.ValidName(text) {
		d.addProblem(n, "%s %q: want kebab case, at most %d letters, digits and hyphens", key, text, daisyfleet.MaxNameLength)
		return ""
	}
	return text
}

func (d *decoder) duration(parent *yaml.Node, f fields, key string) time.Duration {
	n := d.required(parent, f, key)
	if n == nil {
		return 0
	}
	text := d.text(n)
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		d.addProblem(n, "%s %q: want a positive duration with its unit, for instance 250ms", key, text)
	}
	return value
}

func (d *decoder) count(parent *yaml.Node, f fields, key string, maximum int) int {
	n := d.required(parent, f, key)
	if n == nil {
		return 0
	}
	text := d.text(n)
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 || value > maximum {
		d.addProblem(n, "%s %q: want a whole number from 1 to %d", key, text, maximum)
	}
	return value
}

func (d *decoder) optionalNumber(f fields, key string, defaultValue, minimum, maximum float64) float64 {
	n := f[key]
	if n == nil {
		return defaultValue
	}
	text := d.text(n)
	value, err := strconv.ParseFloat(text, 64)
	// A negated comparison, so that NaN fails too.
	if err != nil || !(value >= minimum && value <= maximum) {
		d.addProblem(n, "%s %q: want a number from %g to %g", key, text, minimum, maximum)
		return defaultValue
	}
	return value
}

func (d *decoder) optionalFlag(f fields, key string) bool {
	n := f[key]
	if n == nil {
		return false
	}
	switch d.text(n) {
	case "true":
		return true
	case "false":
		return false
	}
	d.addProblem(n, "%s %q: want true or false", key, n.Value)
	return false
}

func (d *decoder) address(parent *yaml.Node, f fields, key string) netip.AddrPort {
	n := d.required(parent, f, key)
	if n == nil {
		return netip.AddrPort{}
	}
	text := d.text(n)
	address, err := netip.ParseAddrPort(text)
	if err != nil || !daisyendpoint.ValidAddress(address) {
		d.addProblem(n, "%s %q: want IP:PORT", key, text)
		return netip.AddrPort{}
	}
	return address
}

// uniqueNames records a problem for each name that appears more than once.
type uniqueNames struct {
	decoder *decoder
	kind    string
	// lines maps each name to the line of its first appearance.
	lines map[string]int
}

func newUniqueNames(d *decoder, kind string) *uniqueNames {
	return &uniqueNames{decoder: d, kind: kind, lines: make(map[string]int)}
}

func (u *uniqueNames) add(n *yaml.Node, name string) {
	if n == nil || name == "" {
		return
	}
	if line, ok := u.lines[name]; ok {
		u.decoder.addProblem(n, "%s %q stands already on line %d", u.kind, name, line)
		return
	}
	u.lines[name] = n.Line
}
