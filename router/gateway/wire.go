package gateway

import (
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Protocol defines the header names that callers and endpoints use, in canonical form, and how a request's demand is
// read. An adapter fills it in.
type Protocol struct {
	// RequestID is the header with the request's identifier, which endpoints repeat in their answers.
	RequestID string
	// Deadline is the header with the time left, in milliseconds.
	Deadline string
	// Team is the header with the name of the caller's team, for endpoints.
	Team string
	// ExpectedEndpoint is the header with the name of the intended endpoint. Any other endpoint refuses the request.
	ExpectedEndpoint string
	// Seal is the header that marks an answer as given by an endpoint.
	Seal string
	// NotRun is the header by which an endpoint states that it did not run the request.
	NotRun string
	// Leaving is the header with which an endpoint that leaves marks its answers; empty if endpoints don't.
	Leaving string
	// Brittle is the header with which an endpoint names the number of requests that it can refuse in a second, from all routers together,
	// without falling over; empty if endpoints don't.
	Brittle string
	// RateLimit is the header with which an endpoint names the rate of requests, in requests a second, that it accepts from all routers
	// together; empty if endpoints don't.
	RateLimit string
	// Cold is the header with which an endpoint names the milliseconds for which it stays cold; empty if endpoints don't.
	Cold string
	// ResumeAfter is the header with the identifier of the last event of a stream that was received.
	ResumeAfter string
	// Resumes is the header with the identifier of the request that brought the first event of the stream that the caller resumes;
	// empty if callers don't name it.
	Resumes string
	// Urgency is the header with the request's urgency at an engine, from 0, the most urgent, to 9.
	Urgency string
	// Reserved lists the headers that only routers may set; those of callers are dropped.
	Reserved []string
	// Demand parses what a request needs from an engine.
	Demand func(http.Header) (site.Demand, error)
}
