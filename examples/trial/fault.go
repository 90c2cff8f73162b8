package main

import (
	"strconv"
	"strings"
	"time"

	"daisyyoke/core/daisyerror"
)

// Fault is a fault that a trial injects. It is one of KillVM, PauseVM,
// StopVM, EndpointFault, PlatformFault and Flood.
type Fault interface{ fault() }

// KillVM ends a daemon by SIGKILL and starts it again after the time For.
type KillVM struct {
	Index int
	For   time.Duration
}

// PauseVM suspends a daemon by SIGSTOP and resumes it after the time For.
type PauseVM struct {
	Index int
	For   time.Duration
}

// StopVM ends a daemon by SIGTERM, a planned stop, and starts it again after the time For.
type StopVM struct {
	Index int
	For   time.Duration
}

// EndpointFault activates a fault of a stand-in endpoint for a limited time.
type EndpointFault struct {
	Index int
	// Document is the fault as the JSON that the stand-in accepts.
	Document string
	For      time.Duration
}

// PlatformFault activates a fault of the stand-in platform for a limited time.
type PlatformFault struct {
	Document string
	For      time.Duration
}

// Flood multiplies the request rate of a rank for a limited time.
type Flood struct {
	Rank   string
	Factor float64
	For    time.Duration
}

func (KillVM) fault()        {}
func (PauseVM) fault()       {}
func (StopVM) fault()        {}
func (EndpointFault) fault() {}
func (PlatformFault) fault() {}
func (Flood) fault()         {}

// timedFault is a fault and the time at which it begins, from the start of the load.
type timedFault struct {
	at    time.Duration
	text  string
	fault Fault
}

// endpointFaultDocuments maps the names of endpoint faults to their documents.
var endpointFaultDocuments = map[string]string{
	"slow-endpoint":      `{"slow":10}`,
	"fail-fast-endpoint": `{"fail-fast":true}`,
	"shed-endpoint":      `{"shed-all":true}`,
	"drain-endpoint":     `{"draining":true}`,
	"break-endpoint":     `{"break":"before-header"}`,
	"cut-endpoint":       `{"break":"mid-body"}`,
	"freeze-endpoint":    `{"freeze":true}`,
}

// faultHelp is the help text of --fault.
const faultHelp = "`AT,NAME,WHICH,FOR`, for instance 2s,kill-vm,1,3s; repeatable; names: kill-vm, pause-vm, stop-vm, " +
	"slow-endpoint, fail-fast-endpoint, shed-endpoint, drain-endpoint, break-endpoint, cut-endpoint, freeze-endpoint, " +
	"platform-down, platform-slow, platform-lost-replies, platform-lagging (WHICH is ignored), flood (WHICH is RANK*FACTOR)"

// parseFault parses AT,NAME,WHICH,FOR. It fails with daisyerror.InvalidSetting.
func parseFault(text string) (timedFault, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 4 {
		return timedFault{}, daisyerror.InvalidSetting.New("--fault %q: want AT,NAME,WHICH,FOR", text)
	}
	at, err := time.ParseDuration(parts[0])
	if err != nil {
		return timedFault{}, daisyerror.InvalidSetting.Wrap(err, "--fault %q", text)
	}
	duration, err := time.ParseDuration(parts[3])
	if err != nil {
		return timedFault{}, daisyerror.InvalidSetting.Wrap(err, "--fault %q", text)
	}
	fault, err := newFault(parts[1], parts[2], duration)
	if err != nil {
		return timedFault{}, err
	}
	return timedFault{at: at, text: text, fault: fault}, nil
}

func newFault(name, which string, duration time.Duration) (Fault, error) {
	switch name {
	case "platform-down":
		return PlatformFault{Document: `{"down":true}`, For: duration}, nil
	case "platform-slow":
		return PlatformFault{Document: `{"slow":"500ms"}`, For: duration}, nil
	case "platform-lost-replies":
		return PlatformFault{Document: `{"lost-replies":0.5}`, For: duration}, nil
	case "platform-lagging":
		return PlatformFault{Document: `{"lagging":"5s","lagging-vms":"10s"}`, For: duration}, nil
	case "flood":
		return parseFlood(which, duration)
	}
	index, err := strconv.Atoi(which)
	if err != nil || index < 0 {
		return nil, daisyerror.InvalidSetting.New("--fault: index %q: want a whole number from 0", which)
	}
	switch name {
	case "kill-vm":
		return KillVM{Index: index, For: duration}, nil
	case "pause-vm":
		return PauseVM{Index: index, For: duration}, nil
	case "stop-vm":
		return StopVM{Index: index, For: duration}, nil
	}
	if document, ok := endpointFaultDocuments[name]; ok {
		return EndpointFault{Index: index, Document: document, For: duration}, nil
	}
	return nil, daisyerror.InvalidSetting.New("--fault: unknown fault %q", name)
}

func parseFlood(which string, duration time.Duration) (Fault, error) {
	rank, factor, _ := strings.Cut(which, "*")
	value, err := strconv.ParseFloat(factor, 64)
	if err != nil || value <= 0 {
		return nil, daisyerror.InvalidSetting.New("--fault: flood %q: want RANK*FACTOR", which)
	}
	return Flood{Rank: rank, Factor: value, For: duration}, nil
}
