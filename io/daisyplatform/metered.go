package daisyplatform

import "context"

// Meter counts the operations on a platform by operation and kind of answer.
type Meter interface {
	PlatformOperation(operation, answer string)
}

// MeteredVMs is a list of VMs that counts the operations on it.
type MeteredVMs struct {
	inner VMs
	meter Meter
}

var _ VMs = (*MeteredVMs)(nil)

// NewMeteredVMs returns a list of VMs that passes operations to inner and counts them.
func NewMeteredVMs(inner VMs, meter Meter) *MeteredVMs {
	return &MeteredVMs{inner: inner, meter: meter}
}

func (m *MeteredVMs) count(operation string, answer Answer) Answer {
	m.meter.PlatformOperation(operation, AnswerName(answer))
	return answer
}

// ListVMs passes the operation on and counts it.
func (m *MeteredVMs) ListVMs(ctx context.Context) Answer {
	return m.count("list-vms", m.inner.ListVMs(ctx))
}

// AnnounceVM passes the operation on and counts it.
func (m *MeteredVMs) AnnounceVM(ctx context.Context, vm ListedVM) Answer {
	return m.count("announce-vm", m.inner.AnnounceVM(ctx, vm))
}

// Metered is a platform that counts the operations on it.
type Metered struct {
	*MeteredVMs
	inner Platform
}

var _ Platform = (*Metered)(nil)

// NewMetered returns a platform that passes operations to inner and counts them.
func NewMetered(inner Platform, meter Meter) *Metered {
	return &Metered{MeteredVMs: NewMeteredVMs(inner, meter), inner: inner}
}

// GetRow passes the operation on and counts it.
func (m *Metered) GetRow(ctx context.Context, key string) Answer {
	return m.count("get-row", m.inner.GetRow(ctx, key))
}

// SwapRow passes the operation on and counts it.
func (m *Metered) SwapRow(ctx context.Context, key string, expected Version, value []byte) Answer {
	return m.count("swap-row", m.inner.SwapRow(ctx, key, expected, value))
}

// ListRows passes the operation on and counts it.
func (m *Metered) ListRows(ctx context.Context, prefix string) Answer {
	return m.count("list-rows", m.inner.ListRows(ctx, prefix))
}

// PutObject passes the operation on and counts it.
func (m *Metered) PutObject(ctx context.Context, name string, data []byte) Answer {
	return m.count("put-object", m.inner.PutObject(ctx, name, data))
}

// GetObject passes the operation on and counts it.
func (m *Metered) GetObject(ctx context.Context, name string) Answer {
	return m.count("get-object", m.inner.GetObject(ctx, name))
}
