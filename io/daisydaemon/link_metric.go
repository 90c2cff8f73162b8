package daisydaemon

import (
	"daisyyoke/io/daisymetric"
	"daisyyoke/io/daisypeer"
)

// addLinkMetrics registers the metrics of the links to other VMs.
func addLinkMetrics(metrics *daisymetric.Metrics, links *daisypeer.Links) {
	metrics.AddGauge("daisyyoke_peer_links", "Links to other VMs now.", func() float64 { return float64(len(links.LinkedVMs())) })
	add := func(name, help string, read func(c daisypeer.Counts) uint64) {
		metrics.AddGauge(name, help, func() float64 { return float64(read(links.Counts())) })
	}
	add("daisyyoke_peer_messages_sent_total", "Messages sent to other VMs.", func(c daisypeer.Counts) uint64 { return c.Sent })
	add("daisyyoke_peer_messages_received_total", "Messages received from other VMs.", func(c daisypeer.Counts) uint64 { return c.Received })
	add("daisyyoke_peer_messages_dropped_total", "Messages to other VMs dropped for want of room.", func(c daisypeer.Counts) uint64 { return c.Dropped })
	add("daisyyoke_peer_connections_refused_total", "Connections of other VMs that were refused.", func(c daisypeer.Counts) uint64 { return c.Refused })
	add("daisyyoke_peer_bytes_sent_total", "Bytes sent to other VMs.", func(c daisypeer.Counts) uint64 { return c.BytesSent })
	add("daisyyoke_peer_bytes_received_total", "Bytes received from other VMs.", func(c daisypeer.Counts) uint64 { return c.BytesReceived })
}
