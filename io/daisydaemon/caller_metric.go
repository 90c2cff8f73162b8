package daisydaemon

import (
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisylog"
	"daisyyoke/io/daisymetric"
)

// Help texts of the metrics that Daemon and Managed share.
const (
	connectionsHelp = "Open connections to endpoints."
	revisionHelp    = "Revision of the configuration in force, 0 for none."
)

// addCallerMetrics registers the metrics of requests, endpoint connections and the log.
func (d *Daemon) addCallerMetrics(admit *daisyfilter.Admit) {
	d.metrics.AddGauge("daisyyoke_requests_in_hand", "Requests of all services now.", func() float64 { return float64(admit.InFlight()) })
	d.metrics.AddGauge("daisyyoke_endpoint_connections", connectionsHelp, func() float64 { return float64(d.pool.Connections()) })
	addLogMetrics(d.metrics, d.log)
	addEvacuationMetrics(d.metrics, d.routes)
}

// addEvacuationMetrics registers the metrics of evacuated availability zones.
func addEvacuationMetrics(metrics *daisymetric.Metrics, routes *daisycontroller.Route) {
	metrics.AddGauge("daisyyoke_evacuated_zones", "Availability zones that are evacuated.", func() float64 { return float64(routes.EvacuatedZones()) })
	metrics.AddGauge("daisyyoke_evacuated_attempts", "Attempts under way at endpoints of evacuated availability zones.", func() float64 { return float64(routes.EvacuatedInFlight()) })
}

// addLogMetrics registers the metrics of dropped and sampled log lines.
func addLogMetrics(metrics *daisymetric.Metrics, log *daisylog.Log) {
	metrics.AddGauge("daisyyoke_log_lines_dropped_total", "Log lines dropped because the buffer was full.", func() float64 { return float64(log.Dropped()) })
	metrics.AddGauge("daisyyoke_log_requests_kept_ratio", "Share of the requests that is logged, from 0 to 1.", log.SampledShare)
}
