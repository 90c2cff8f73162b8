package daisyrequest

// Ending is how the transfer of a response body ended.
type Ending int

const (
	// EndedWhole means that the whole body arrived, or that the rest was no longer needed.
	EndedWhole Ending = iota
	// EndpointCut means that the endpoint truncated the body or stalled while sending it.
	EndpointCut
)
