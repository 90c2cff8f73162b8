package daisyintent

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"daisyyoke/core/daisyfleet"
)

// fields are the values of one mapping by key.
type fields map[string]*yaml.Node

func (d *decoder) fail(n *yaml.Node, format string, args ...any) {
	d.problems = append(d.problems, problem{line: n.Line, text: fmt.Sprintf(format, args...)})
}

func joinProblems(problems []problem) string {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		lines = append(lines, "line "+strconv.Itoa(p.line)+": "+p.text)
	}
	return strings.Join(lines, "\n")
}

func (d *decoder) mapping(n *yaml.Node, what string, known ...string) fields {
	f := make(fields)
	if n.Kind != yaml.MappingNode {
		d.fail(n, "%s has to be a mapping with the keys %s", what, strings.Join(known, ", "))
		return f
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		d.field(f, n.Content[i], n.Content[i+1], what, known)
	}
	return f
}

func (d *decoder) field(f fields, key, value *yaml.Node, what string, known []string) {
	if !slices.Contains(known, key.Value) {
		d.fail(key, "%s has no key %q; it knows %s", what, key.Value, strings.Join(known, ", "))
		return
	}
	if f[key.Value] != nil {
		d.fail(key, "key %q stands twice", key.Value)
		return
	}
	if value.Kind == yaml.AliasNode {
		d.fail(value, "key %q: YAML aliases are not read", key.Value)
	}
	f[key.Value] = value
}

func (d *decoder) required(parent *yaml.Node, f fields, key string) *yaml.Node {
	n := f[key]
	if n == nil && parent.Kind == yaml.MappingNode {
		d.fail(parent, "key %q is missing", key)
	}
	return n
}

func (d *decoder) sequence(parent *yaml.Node, f fields, key string) []*yaml.Node {
	n := d.required(parent, f, key)
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		d.fail(n, "%s has to be a list", key)
		return nil
	}
	if len(n.Content) == 0 {
		d.fail(n, "%s is empty", key)
	}
	return n.Content
}

func (d *decoder) text(n *yaml.Node) string {
	if n.Kind != yaml.ScalarNode {
		d.fail(n, "want a single value")
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
		d.fail(n, "%s %q: want kebab case, at most %d letters, digits and hyphens", key, text, daisyfleet.MaxNameLength)
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
		d.fail(n, "%s %q: want a positive duration with its unit, for instance 250ms", key, text)
	}
	return value
}

func (d *decoder) count(parent *yaml.Node, f fields, key string, most int) int {
	n := d.required(parent, f, key)
	if n == nil {
		return 0
	}
	text := d.text(n)
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 || value > most {
		d.fail(n, "%s %q: want a whole number from 1 to %d", key, text, most)
	}
	return value
}

func (d *decoder) optionalNumber(f fields, key string, absent, least, most float64) float64 {
	n := f[key]
	if n == nil {
		return absent
	}
	text := d.text(n)
	value, err := strconv.ParseFloat(text, 64)
	// A negated comparison, so that NaN fails too.
	if err != nil || !(value >= least && value <= most) {
		d.fail(n, "%s %q: want a number from %g to %g", key, text, least, most)
		return absent
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
	d.fail(n, "%s %q: want true or false", key, n.Value)
	return false
}

func (d *decoder) address(parent *yaml.Node, f fields, key string) netip.AddrPort {
	n := d.required(parent, f, key)
	if n == nil {
		return netip.AddrPort{}
	}
	text := d.text(n)
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		d.fail(n, "%s %q: want IP:PORT", key, text)
		return netip.AddrPort{}
	}
	return address
}

// names finds names that stand twice.
type names struct {
	decoder *decoder
	what    string
	lines   map[string]int
}

func newNames(d *decoder, what string) *names {
	return &names{decoder: d, what: what, lines: make(map[string]int)}
}

func (s *names) add(n *yaml.Node, name string) {
	if n == nil || name == "" {
		return
	}
	if line, ok := s.lines[name]; ok {
		s.decoder.fail(n, "%s %q stands already on line %d", s.what, name, line)
		return
	}
	s.lines[name] = n.Line
}
