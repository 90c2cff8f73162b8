// Package daisyoperator is the operators' interface: its JSON documents, its HTTP
// handler on a VM and its client.
//
// The paths of commands start with /v1. Field names in documents are in kebab case. A
// failure is a problem document (RFC 9457) with a kind from the Kind constants.
package daisyoperator

import (
	"net/netip"
	"time"
)

// Plan is the document of a plan.
type Plan struct {
	ID           string     `json:"id"`
	State        string     `json:"state"`
	BaseRevision uint64     `json:"base-revision"`
	CreatedAt    time.Time  `json:"created-at"`
	CreatedBy    string     `json:"created-by"`
	ExpiresAt    time.Time  `json:"expires-at"`
	Revision     uint64     `json:"revision,omitempty"`
	Changes      []string   `json:"changes"`
	Effects      []string   `json:"effects"`
	Warnings     []string   `json:"warnings"`
	ConfirmedAt  *time.Time `json:"confirmed-at,omitempty"`
	ConfirmedBy  string     `json:"confirmed-by,omitempty"`
}

// PlanFields are the JSON field names of Plan.
var PlanFields = []string{
	"id", "state", "base-revision", "created-at", "created-by", "expires-at", "revision",
	"changes", "effects", "warnings", "confirmed-at", "confirmed-by",
}

// Config is the document of a confirmed configuration.
type Config struct {
	Revision    uint64     `json:"revision"`
	Hash        string     `json:"hash"`
	ConfirmedAt time.Time  `json:"confirmed-at"`
	ConfirmedBy string     `json:"confirmed-by"`
	PlanID      string     `json:"plan-id"`
	IntentYAML  string     `json:"intent-yaml"`
	InForce     []InForce  `json:"in-force"`
	History     []Revision `json:"history,omitempty"`
}

// ConfigFields are the JSON field names of Config.
var ConfigFields = []string{
	"revision", "hash", "confirmed-at", "confirmed-by", "plan-id", "intent-yaml", "in-force", "history",
}

// InForce is the revision that a VM has in force.
type InForce struct {
	VM       string `json:"vm"`
	Revision uint64 `json:"revision"`
}

// Revision is one entry of the audit trail.
type Revision struct {
	Revision    uint64    `json:"revision"`
	Hash        string    `json:"hash"`
	PlanID      string    `json:"plan-id"`
	ConfirmedAt time.Time `json:"confirmed-at"`
	ConfirmedBy string    `json:"confirmed-by"`
}

// Service is the document of a service, with the work in progress on the answering VM.
type Service struct {
	Fleet     string   `json:"fleet"`
	Service   string   `json:"service"`
	Ranks     []string `json:"ranks"`
	Endpoints int      `json:"endpoints"`
	Slots     int      `json:"slots"`
	Draining  int      `json:"draining"`
	InFlight  int      `json:"in-flight"`
	Waiting   int      `json:"waiting"`
}

// ServiceFields are the JSON field names of Service.
var ServiceFields = []string{"fleet", "service", "ranks", "endpoints", "slots", "draining", "in-flight", "waiting"}

// Endpoint is the document of an endpoint, with its state on the answering VM.
type Endpoint struct {
	Fleet       string         `json:"fleet"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"availability-zone"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	InFlight    int            `json:"in-flight"`
	State       string         `json:"state"`
	// RateLimit is in requests per second; null without a limit. RateUsed is the share of
	// it that the answering VM used of late.
	RateLimit *float64 `json:"rate-limit"`
	RateUsed  float64  `json:"rate-used"`
	// Pause is how much longer the answering VM sends nothing to the endpoint, because it
	// asked for that; "0s" without a pause.
	Pause string `json:"pause"`
}

// EndpointFields are the JSON field names of Endpoint.
var EndpointFields = []string{
	"fleet", "service", "address", "availability-zone", "slots", "connections", "in-flight", "state", "rate-limit", "rate-used", "pause",
}

// EndpointRequest identifies an endpoint to drain or to resume.
type EndpointRequest struct {
	Address netip.AddrPort `json:"address"`
	// Fleet and Service are needed when several services declare the address; empty matches any.
	Fleet   string `json:"fleet,omitempty"`
	Service string `json:"service,omitempty"`
	// Draining is true to drain the endpoint and false to resume it.
	Draining bool `json:"draining"`
}

// VM is the document of a VM, with its state as known to the answering VM.
type VM struct {
	Name     string         `json:"name"`
	Zone     string         `json:"availability-zone"`
	Callers  netip.AddrPort `json:"callers"`
	State    string         `json:"state"`
	Revision uint64         `json:"revision"`
	Ready    bool           `json:"ready"`
	Spare    int            `json:"spare"`
	Self     bool           `json:"self"`
}

// VMFields are the JSON field names of VM.
var VMFields = []string{"name", "availability-zone", "callers", "state", "revision", "ready", "spare", "self"}

// Readiness is the response body of /readyz.
type Readiness struct {
	Ready    bool           `json:"ready"`
	Reason   string         `json:"reason,omitempty"`
	Services []ServiceReady `json:"services,omitempty"`
}

// ServiceReady reports whether a VM can serve a service.
type ServiceReady struct {
	Fleet   string `json:"fleet"`
	Service string `json:"service"`
	Ready   bool   `json:"ready"`
}
