package daisydaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisystop"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyoperator"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	operatorIdleTimeout   = time.Minute
	// drainTimeout is how long to wait for another VM to report that it is stopping.
	drainTimeout = 10 * time.Second
)

// operatorServer serves operators until it is closed.
type operatorServer struct {
	server *http.Server
	wg     sync.WaitGroup
}

func newOperatorServer(listener net.Listener, handler http.Handler) *operatorServer {
	s := &operatorServer{server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: operatorHeaderTimeout,
		IdleTimeout:       operatorIdleTimeout,
	}}
	s.wg.Go(func() { _ = s.server.Serve(listener) })
	return s
}

// Close aborts the requests in flight and waits for the server to return.
func (s *operatorServer) Close() {
	_ = s.server.Close()
	s.wg.Wait()
}

func (d *Daemon) startOperators() error {
	operations := &daisyoperator.Operations{Plans: d.plans, Configs: d.config, Work: d.routes, Membership: operatorMembership{d}}
	handler := daisyoperator.NewHandler(operations, health{d}, d.logger, d.access.operatorFilters()...)
	d.operators = newOperatorServer(d.access.operatorListener(d.listeners.operators), handler)
	d.onClose(d.operators.Close)
	return nil
}

// operatorMembership lists the VMs for operators and starts their planned stops.
type operatorMembership struct{ daemon *Daemon }

// ListVMs returns this VM first, then the others by name.
func (m operatorMembership) ListVMs() []daisyoperator.VM {
	table := m.daemon.members.Table()
	self := encodeMember(table.Self)
	self.Self = true
	list := []daisyoperator.VM{self}
	for _, o := range table.Others {
		list = append(list, encodeMember(o))
	}
	return list
}

func encodeMember(m daisyvm.Member) daisyoperator.VM {
	return daisyoperator.VM{
		Name:     string(m.VM.Name),
		Zone:     m.VM.Zone.String(),
		Callers:  m.VM.Callers,
		State:    memberState(m),
		Revision: m.Status.Revision,
		Ready:    m.Status.Ready,
		Spare:    int(m.Status.Spare),
	}
}

// memberState returns the progress of a VM's planned stop, or its membership state if
// no planned stop is known.
func memberState(m daisyvm.Member) string {
	switch {
	case m.State == daisyvm.Dead && m.Status.Leaving:
		return "left"
	case m.State == daisyvm.Dead || m.State == daisyvm.Unheard:
		return m.State.String()
	case m.Status.Leaving:
		return "leaving"
	case m.Status.Stopping:
		return "stopping"
	}
	return m.State.String()
}

// Drain requests the planned stop of this or another VM.
func (m operatorMembership) Drain(ctx context.Context, name daisyvm.Name) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	return m.daemon.stop.Drain(ctx, name, string(m.daemon.self.Name))
}

// health provides the readiness and the metrics of a daemon.
type health struct{ daemon *Daemon }

// Readiness reports whether the VM is ready, and for each service whether it can be served.
func (h health) Readiness() daisyoperator.Readiness {
	if reason := h.daemon.config.WaitReason(); reason != nil {
		return daisyoperator.Readiness{Reason: daisyconfig.DescribeWaitReason(reason)}
	}
	r := daisyoperator.Readiness{Ready: true}
	if h.daemon.stop.Phase() >= daisystop.Leaving {
		r = daisyoperator.Readiness{Reason: "a planned stop is under way"}
	}
	for _, s := range h.daemon.routes.Services() {
		r.Services = append(r.Services, daisyoperator.ServiceReady{
			Fleet:   string(s.ID.Fleet),
			Service: s.ID.Name,
			Ready:   h.daemon.routes.HasUsableEndpoint(s.ID),
		})
	}
	return r
}

// WriteMetrics writes the metrics in the Prometheus text format.
func (h health) WriteMetrics(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if err := h.daemon.metrics.WritePrometheus(w); err != nil {
		h.daemon.logger.Info("failed to write metrics", "cause", err)
	}
}
