package peer

import "github.com/rcrowley/go-metrics"

// Names of the package's counters in the metrics registry.
const (
	copiesSent                 = "peer.copy.sent"
	copiesFailed               = "peer.copy.failed"
	copiesAccepted             = "peer.copy.accepted"
	requestsRefused            = "peer.request.refused"
	connectionsRefused         = "peer.connection.refused"
	handshakesRefused          = "peer.handshake.refused"
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
		{copiesSent, "Copies of groups that another router accepted from this one."},
		{copiesFailed, "Copies of groups that another router refused or did not answer."},
		{copiesAccepted, "Copies of groups that this router accepted from other routers."},
		{requestsRefused, "Requests of other routers that were refused, for example because they were malformed, contained a group of another writer or exceeded the limit on held copies."},
		{connectionsRefused, "Connections of other routers that were closed because there were too many or their certificate names no instance."},
		{handshakesRefused, "Connections that were refused since too many others had begun and not completed their handshakes."},
		{dialsFailed, "Connections to other routers that could not be established."},
		{configurationFetchesFailed, "Requests for configuration that another router refused or did not answer."},
		{prepaidRequestsFailed, "Requests for prepaid tokens that another router refused or did not answer."},
	}
}

func (n *Node) increment(name string) {
	metrics.GetOrRegisterCounter(name, n.counters).Inc(1)
}
