package daisyrequest

// Ending is how the transfer of a response body ended.
type Ending int

const (
	// BodyComplete means that the whole body arrived, or that the rest was no longer needed.
	BodyComplete Ending = iota
	// BodyTruncated means that the endpoint truncated the body or stalled while sending it.
	BodyTruncated
)
