package daisyintent

import (
	"bytes"
	"strconv"

	"go.yaml.in/yaml/v3"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

const indentSpaces = 2

// Encode encodes an intent as YAML, so that Decode returns an equal intent for every
// intent that Decode can produce. It omits what the format has no keys for: routes,
// caller limits, health paths, the connection limits of services, and the
// incarnations of endpoints. It fails with daisyerror.Internal.
func Encode(intent daisyconfig.Intent) ([]byte, error) {
	root := newMapping(newField("fleets", newSequence(intent.Fleets, encodeFleet)))
	var text bytes.Buffer
	e := yaml.NewEncoder(&text)
	e.SetIndent(indentSpaces)
	if err := e.Encode(root); err != nil {
		return nil, daisyerror.Internal.Wrap(err, "writing the intent")
	}
	if err := e.Close(); err != nil {
		return nil, daisyerror.Internal.Wrap(err, "writing the intent")
	}
	return text.Bytes(), nil
}

func encodeFleet(f daisyconfig.Fleet) *yaml.Node {
	return newMapping(
		newField("name", newScalar(string(f.Name))),
		newField("availability-zones", newSequence(f.AvailabilityZones, encodeZone)),
		newField("ranks", newSequence(f.Ranks, encodeRank)),
		newField("services", newSequence(f.Services, encodeService)),
	)
}

func encodeZone(z daisyfleet.AvailabilityZone) *yaml.Node {
	fields := []field{newField("name", newScalar(z.ID.Zone)), newField("city", newQuotedScalar(z.City))}
	if z.Evacuated {
		fields = append(fields, newField("evacuated", newScalar("true")))
	}
	return withFlowStyle(newMapping(fields...))
}

func encodeRank(r daisyrank.Rank) *yaml.Node {
	return withFlowStyle(newMapping(
		newField("name", newScalar(string(r.Name))),
		newField("target", newScalar(r.Target.String())),
		newField("worth", newScalar(formatNumber(r.Worth))),
		newField("floor", newScalar(formatNumber(r.Floor))),
	))
}

func encodeService(s daisyservice.Service) *yaml.Node {
	defaultRank, _ := s.Default()
	ranks := newSequence(s.Ranks, func(r daisyrank.Rank) *yaml.Node { return newScalar(string(r.Name)) })
	return newMapping(
		newField("name", newScalar(s.ID.Name)),
		newField("ranks", withFlowStyle(ranks)),
		newField("default-rank", newScalar(string(defaultRank.Name))),
		newField("protocol", newScalar(s.Protocol.String())),
		newField("endpoints", newSequence(s.Endpoints, encodeEndpoint)),
	)
}

func encodeEndpoint(e daisyendpoint.Endpoint) *yaml.Node {
	fields := []field{
		newField("address", newQuotedScalar(e.Address.String())),
		newField("availability-zone", newScalar(e.Zone.Zone)),
		newField("slots", newScalar(strconv.Itoa(e.Slots))),
		newField("connections", newScalar(strconv.Itoa(e.Connections))),
	}
	if e.Draining {
		fields = append(fields, newField("draining", newScalar("true")))
	}
	return withFlowStyle(newMapping(fields...))
}

// field is a key of a YAML mapping with its value.
type field struct {
	key   string
	value *yaml.Node
}

func newField(key string, value *yaml.Node) field { return field{key: key, value: value} }

func newMapping(fields ...field) *yaml.Node {
	n := &yaml.Node{Kind: yaml.MappingNode}
	for _, f := range fields {
		n.Content = append(n.Content, newScalar(f.key), f.value)
	}
	return n
}

func newSequence[T any](items []T, encode func(T) *yaml.Node) *yaml.Node {
	n := &yaml.Node{Kind: yaml.SequenceNode}
	for _, i := range items {
		n.Content = append(n.Content, encode(i))
	}
	return n
}

func newScalar(text string) *yaml.Node { return &yaml.Node{Kind: yaml.ScalarNode, Value: text} }

func newQuotedScalar(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Value: text, Style: yaml.DoubleQuotedStyle}
}

// withFlowStyle returns the node, set to be written on one line.
func withFlowStyle(n *yaml.Node) *yaml.Node {
	n.Style = yaml.FlowStyle
	return n
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
