package daisyrequest

// Ending says how the body of an answer ended.
type Ending int

const (
	// EndedWhole says that the whole body arrived, or that nobody wanted the rest.
	EndedWhole Ending = iota
	// EndpointCut says that the endpoint broke the body off or stalled.
	EndpointCut
)
