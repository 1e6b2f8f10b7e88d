package gateway

import (
	"net/http"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// Wire holds the names that callers and endpoints use; an adapter fills it. Names of headers are in canonical form.
type Wire struct {
	// RequestID names the header with a request's identifier, which endpoints repeat in their answers.
	RequestID string
	// Deadline names the header with the time left, in milliseconds.
	Deadline string
	// Team names the header that tells endpoints the caller's team.
	Team string
	// ExpectedEndpoint names the header with the endpoint that is meant. Another one refuses the request.
	ExpectedEndpoint string
	// Seal names the header by which an answer shows that an endpoint gave it.
	Seal string
	// NotRun names the header by which an endpoint says that it did not run the request.
	NotRun string
	// ResumeAfter names the header with the last event that a caller has.
	ResumeAfter string
	// Urgency names the header with a request's urgency at an engine, from 0, the most urgent, to 9.
	Urgency string
	// Reserved are the headers that only routers may set; callers' are dropped.
	Reserved []string
	// Demand reads what a request asks of an engine.
	Demand func(http.Header) (site.Demand, error)
}
