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

const indent = 2

// Encode writes an intent so that Decode gives the same intent again. It fails
// with daisyerror.Internal.
func Encode(intent daisyconfig.Intent) ([]byte, error) {
	root := mappingOf(pair("fleets", listOf(intent.Fleets, encodeFleet)))
	var text bytes.Buffer
	e := yaml.NewEncoder(&text)
	e.SetIndent(indent)
	if err := e.Encode(root); err != nil {
		return nil, daisyerror.Internal.Wrap(err, "writing the intent")
	}
	if err := e.Close(); err != nil {
		return nil, daisyerror.Internal.Wrap(err, "writing the intent")
	}
	return text.Bytes(), nil
}

func encodeFleet(f daisyconfig.Fleet) *yaml.Node {
	return mappingOf(
		pair("name", scalar(string(f.Name))),
		pair("availability-zones", listOf(f.AvailabilityZones, encodeZone)),
		pair("ranks", listOf(f.Ranks, encodeRank)),
		pair("services", listOf(f.Services, encodeService)),
	)
}

func encodeZone(z daisyfleet.AvailabilityZone) *yaml.Node {
	return flow(mappingOf(pair("name", scalar(z.ID.Zone)), pair("city", quoted(z.City))))
}

func encodeRank(r daisyrank.Rank) *yaml.Node {
	return flow(mappingOf(
		pair("name", scalar(string(r.Name))),
		pair("target", scalar(r.Target.String())),
		pair("worth", scalar(number(r.Worth))),
		pair("floor", scalar(number(r.Floor))),
	))
}

func encodeService(s daisyservice.Service) *yaml.Node {
	ranks := listOf(s.Ranks, func(r daisyrank.Rank) *yaml.Node { return scalar(string(r.Name)) })
	return mappingOf(
		pair("name", scalar(s.ID.Name)),
		pair("ranks", flow(ranks)),
		pair("default-rank", scalar(string(s.Ranks[s.DefaultRank].Name))),
		pair("protocol", scalar(s.Protocol.String())),
		pair("endpoints", listOf(s.Endpoints, encodeEndpoint)),
	)
}

func encodeEndpoint(e daisyendpoint.Endpoint) *yaml.Node {
	fields := []field{
		pair("address", quoted(e.Address.String())),
		pair("availability-zone", scalar(e.Zone.Zone)),
		pair("slots", scalar(strconv.Itoa(e.Slots))),
		pair("connections", scalar(strconv.Itoa(e.Connections))),
	}
	if e.Draining {
		fields = append(fields, pair("draining", scalar("true")))
	}
	return flow(mappingOf(fields...))
}

type field struct {
	key   string
	value *yaml.Node
}

func pair(key string, value *yaml.Node) field { return field{key: key, value: value} }

func mappingOf(fields ...field) *yaml.Node {
	n := &yaml.Node{Kind: yaml.MappingNode}
	for _, f := range fields {
		n.Content = append(n.Content, scalar(f.key), f.value)
	}
	return n
}

func listOf[T any](items []T, encode func(T) *yaml.Node) *yaml.Node {
	n := &yaml.Node{Kind: yaml.SequenceNode}
	for _, i := range items {
		n.Content = append(n.Content, encode(i))
	}
	return n
}

func scalar(text string) *yaml.Node { return &yaml.Node{Kind: yaml.ScalarNode, Value: text} }

func quoted(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Value: text, Style: yaml.DoubleQuotedStyle}
}

func flow(n *yaml.Node) *yaml.Node {
	n.Style = yaml.FlowStyle
	return n
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
