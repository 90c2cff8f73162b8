package main

import (
	"bufio"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"daisyyoke/core/daisyerror"
)

// sample is the sum of the metrics of all VMs.
type sample struct {
	// cpu is in seconds; resident, sent and received are in bytes; platform is the
	// number of operations on the platform.
	cpu, resident, sent, received, platform float64
}

func (s sample) sub(o sample) sample {
	return sample{
		cpu:      s.cpu - o.cpu,
		sent:     s.sent - o.sent,
		received: s.received - o.received,
		platform: s.platform - o.platform,
	}
}

func (s sample) div(n float64) sample {
	return sample{cpu: s.cpu / n, sent: s.sent / n, received: s.received / n, platform: s.platform / n}
}

func (f *fleet) sample() (sample, error) {
	var sum sample
	for _, v := range f.vms {
		if err := sum.addMetricsOf(f.client, v.operators); err != nil {
			return sample{}, err
		}
	}
	return sum, nil
}

func (s *sample) addMetricsOf(client *http.Client, operators netip.AddrPort) error {
	response, err := client.Get("http://" + operators.String() + "/metrics")
	if err != nil {
		return daisyerror.Unavailable.Wrap(err, "reading the metrics of %s", operators)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		number, err := strconv.ParseFloat(value, 64)
		if err == nil {
			s.addMetric(name, number)
		}
	}
	if err := lines.Err(); err != nil {
		return daisyerror.Unavailable.Wrap(err, "reading the metrics of %s", operators)
	}
	return nil
}

func (s *sample) addMetric(name string, value float64) {
	family, _, _ := strings.Cut(name, "{")
	switch family {
	case "process_cpu_seconds_total":
		s.cpu += value
	case "process_resident_memory_bytes":
		s.resident += value
	case "daisyyoke_peer_bytes_sent_total":
		s.sent += value
	case "daisyyoke_peer_bytes_received_total":
		s.received += value
	case "daisyyoke_platform_operations_total":
		s.platform += value
	}
}
