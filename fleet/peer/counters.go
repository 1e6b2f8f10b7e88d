package peer

import "github.com/rcrowley/go-metrics"

// Names of the package's counters in the metrics registry.
const (
	copiesSent                 = "peer.copy.sent"
	copiesFailed               = "peer.copy.failed"
	copiesAccepted             = "peer.copy.accepted"
	requestsRefused            = "peer.request.refused"
	connectionsRefused         = "peer.connection.refused"
	dialsFailed                = "peer.dial.failed"
	configurationFetchesFailed = "peer.configuration.failed"
	prepaidRequestsFailed      = "peer.tokens.failed"
)

// Description is the name of a counter and a sentence that explains it to operators.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of the package's counters.
func Counters() []Description {
	return []Description{
		{copiesSent, "Copies of groups that another router has taken over."},
		{copiesFailed, "Copies of groups that a router did not take over."},
		{copiesAccepted, "Copies of groups that this router took over from others."},
		{requestsRefused, "Requests of other routers that were malformed, foreign or beyond the queue's bound."},
		{connectionsRefused, "Connections of other routers beyond the bound or without an instance's name."},
		{dialsFailed, "Connections to other routers that could not be opened."},
		{configurationFetchesFailed, "Requests for configuration that no router answered."},
		{prepaidRequestsFailed, "Requests for prepaid tokens that the other router did not answer."},
	}
}

func (n *Node) increment(name string) {
	metrics.GetOrRegisterCounter(name, n.counters).Inc(1)
}
