package daisydaemon

import (
	"math"

	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
)

// startAge starts to bound the age of the configuration if the settings limit it. It fails
// with daisyerror.Unavailable.
func (d *Managed) startAge() error {
	if d.settings.RevocationTime <= 0 {
		return nil
	}
	sinceBoot, err := daisycontroller.BootClock()
	if err != nil {
		return err
	}
	d.age = daisycontroller.NewAge(sinceBoot)
	return nil
}

// ageBound returns the bound of the age of the configuration for filters; nil if there is none.
func (d *Managed) ageBound() daisyfilter.ConfigurationAge {
	if d.age == nil {
		return nil
	}
	return d.age
}

// newRequireCurrent returns the filter that rejects requests whose key may have been revoked.
func (d *Managed) newRequireCurrent() *daisyfilter.RequireCurrent {
	return daisyfilter.NewRequireCurrent(daisyfilter.RequireCurrentOptions{
		Age:            d.ageBound(),
		RevocationTime: d.settings.RevocationTime,
		Logger:         d.logger,
		Metrics:        d.metrics,
	})
}

// addAgeMetrics registers the bound of the age of the configuration.
func (d *Managed) addAgeMetrics() {
	if d.age == nil {
		return
	}
	const help = "Upper bound of the age of the configuration in force; +Inf if there is none."
	d.metrics.AddGauge("daisyyoke_configuration_age_bound_seconds", help, func() float64 {
		bound, ok := d.age.Bound()
		if !ok {
			return math.Inf(1)
		}
		return bound.Seconds()
	})
}
