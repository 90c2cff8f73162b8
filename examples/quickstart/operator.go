package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"daisyyoke/io/daisyoperator"
)

// operator changes a target and drains an endpoint, each by a plan that it confirms,
// while the load runs.
type operator struct{ group *errgroup.Group }

func newOperator(ctx context.Context, s *setup) *operator {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := sleep(ctx, planAfter); err != nil {
			return err
		}
		if err := changeTarget(ctx, s); err != nil {
			return err
		}
		if err := sleep(ctx, drainAfter-planAfter); err != nil {
			return err
		}
		return drain(ctx, s)
	})
	return &operator{group: group}
}

// Close waits until the operator is done and returns its error.
func (o *operator) Close() error { return o.group.Wait() }

func newClient(address netip.AddrPort) *daisyoperator.Client {
	return daisyoperator.NewClient(daisyoperator.ClientOptions{
		Server:   "http://" + address.String(),
		Operator: "quickstart",
		HTTP:     &http.Client{Timeout: operationTimeout},
	})
}

func changeTarget(ctx context.Context, s *setup) error {
	client := newClient(s.vms[1].Operators())
	p, err := client.CreatePlan(ctx, s.intent("200ms"))
	if err != nil {
		return err
	}
	return confirm(ctx, s, client, p)
}

func drain(ctx context.Context, s *setup) error {
	client := newClient(s.vms[0].Operators())
	p, err := client.PlanEndpoint(ctx, daisyoperator.EndpointRequest{Address: s.addresses[0], Draining: true})
	if err != nil {
		return err
	}
	return confirm(ctx, s, client, p)
}

func confirm(ctx context.Context, s *setup, client *daisyoperator.Client, p daisyoperator.Plan) error {
	fmt.Printf("plan %s:\n", p.ID)
	for _, l := range append(p.Changes, p.Effects...) {
		fmt.Printf("  %s\n", l)
	}
	started := time.Now()
	confirmed, err := client.ConfirmPlan(ctx, p.ID)
	if err != nil {
		return err
	}
	if err := s.waitInForce(ctx, confirmed.Revision); err != nil {
		return err
	}
	fmt.Printf("  confirmed: revision %d in force on both VMs after %s\n", confirmed.Revision, time.Since(started).Round(time.Millisecond))
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
