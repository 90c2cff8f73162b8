package daisycredit

import "daisyyoke/core/daisyendpoint"

// endpointCredits is the state of a borrower at one endpoint.
type endpointCredits struct {
	// claimed is the number of credits held when the term began or, in fallback mode,
	// of attempts in flight.
	claimed uint32
	// granted and recalled are the numbers of credits that the owner has granted and
	// has asked back in this term, and returned is the number of those that the borrower
	// has returned.
	granted  uint64
	recalled uint64
	returned uint64
	inFlight uint32
	// shed is the number of attempts that the endpoint refused in this term because of
	// its load.
	shed uint64
	// restricted is set if this VM sends only trials or nothing to the endpoint.
	restricted bool
	slots      int
	draining   bool
	// rateLimit is the rate limit that the endpoint named last, in an answer to this VM
	// or according to the owner. answers is the number of answers to this VM.
	rateLimit daisyendpoint.RateLimit
	answers   uint64
	// rateLimitNews is the sequence number of the first report that includes the latest
	// limit that an answer to this VM named.
	rateLimitNews uint64
	// cold is the coldness of the endpoint, which may have ended.
	cold coldness
	// changed is the sequence number of the first report that includes the latest change.
	changed uint64
}

// renewed returns the state in which a term or fallback mode begins.
func (c *endpointCredits) renewed(claimed uint32) endpointCredits {
	return endpointCredits{
		claimed:    claimed,
		inFlight:   c.inFlight,
		restricted: c.restricted,
		slots:      c.slots,
		draining:   c.draining,
		rateLimit:  c.rateLimit,
		answers:    c.answers,
		cold:       c.cold,
	}
}

func (c *endpointCredits) limited() bool {
	_, ok := c.rateLimit.(daisyendpoint.Limited)
	return ok
}

func (c *endpointCredits) held() int { return int(c.claimed) + int(c.granted) - int(c.returned) }
func (c *endpointCredits) idle() int { return max(0, c.held()-int(c.inFlight)) }
