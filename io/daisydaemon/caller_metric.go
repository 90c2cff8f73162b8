package daisydaemon

import "daisyyoke/io/daisyfilter"

// addCallerMetrics shows what callers and endpoints hold of the VM.
func (d *Daemon) addCallerMetrics(admit *daisyfilter.Admit) {
	d.metrics.AddGauge("daisyyoke_requests_in_hand", func() float64 { return float64(admit.Running()) })
	d.metrics.AddGauge("daisyyoke_endpoint_connections", func() float64 { return float64(d.pool.Connections()) })
	d.metrics.AddGauge("daisyyoke_log_lines_waited_total", func() float64 { return float64(d.log.Waited()) })
}
