package site

import "time"

const (
	// maxMissingShare is the part of the entries that may be missing after an outage of one router only. If more are missing, the platform was
	// away for the endpoints too, at least for a time.
	maxMissingShare = 0.25
	// minRenewedShare is the part of the endpoints' renewals that are found written if the endpoints reached the platform all the time.
	minRenewedShare = 0.75
	// maxRecordsOfOutage bounds the records for each entry that an outage for all leaves: one from before it was noticed, the removal and the
	// first renewal after it.
	maxRecordsOfOutage = 3
)

// Outage is what a router finds when it can read the endpoints' entries again.
type Outage struct {
	// Duration is the time between the last read before the outage and the first one after it.
	Duration time.Duration
	// Written is the number of records that were written to the entries' topic meanwhile.
	Written int64
	// Listed is the number of entries before the outage, and Missing the number of those that are missing after it.
	Listed, Missing int
}

// SparedEndpoints reports whether the endpoints reached the platform while the router did not, so that no entry has expired. Each endpoint
// renews its entry once in a heartbeat interval.
func (o Outage) SparedEndpoints(heartbeatInterval time.Duration) bool {
	if heartbeatInterval <= 0 || float64(o.Missing) > maxMissingShare*float64(o.Listed) {
		return false
	}
	renewals := float64(o.Listed) * o.Duration.Seconds() / heartbeatInterval.Seconds()
	return float64(o.Written) >= max(minRenewedShare*renewals, maxRecordsOfOutage*float64(o.Listed))
}
