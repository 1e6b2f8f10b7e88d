package controller

// Metric names of the counters.
const (
	configurationReadFailed        = "configuration.read.failed"
	configurationReadTruncated     = "configuration.read.truncated"
	configurationPeerEntries       = "configuration.peer.entries"
	configurationTicketAccepted    = "configuration.ticket.accepted"
	configurationTicketRefused     = "configuration.ticket.refused"
	configurationTicketDuplicate   = "configuration.ticket.duplicate"
	configurationTicketMalformed   = "configuration.ticket.malformed"
	configurationEntryOutOfOrder   = "configuration.entry.out_of_order"
	configurationSnapshotWritten   = "configuration.snapshot.written"
	configurationSnapshotFailed    = "configuration.snapshot.failed"
	configurationSnapshotMissing   = "configuration.snapshot.missing"
	configurationSnapshotMalformed = "configuration.snapshot.malformed"
	instancesReadFailed            = "instances.read.failed"
	instancesListingOlder          = "instances.listing.older"
)

// Description is the name of a counter and the meaning that the documentation gives for it.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns every counter of this package in the order in which the documentation lists them.
func Counters() []Description {
	return []Description{
		{configurationReadFailed, "Reads of the configuration stream that failed."},
		{configurationReadTruncated, "Reads below the entries that the log still keeps."},
		{configurationPeerEntries, "Times that another router gave newer configuration while the log did not answer."},
		{configurationTicketAccepted, "Change tickets that came into force; a restarted router counts those of the log again."},
		{configurationTicketRefused, "Change tickets that a cross check refused."},
		{configurationTicketDuplicate, "Further copies of accepted change tickets."},
		{configurationTicketMalformed, "Entries of the configuration stream that are no valid change ticket."},
		{configurationEntryOutOfOrder, "Entries that the router had folded before, such as those of another router."},
		{configurationSnapshotWritten, "Snapshots of the configuration that this router wrote."},
		{configurationSnapshotFailed, "Snapshots of the configuration that could not be encoded or appended whole."},
		{configurationSnapshotMissing, "Times that no snapshot covered what the log had dropped; a new router stays unready."},
		{configurationSnapshotMalformed, "Chunks of snapshots that are malformed, or complete one with a wrong digest."},
		{instancesReadFailed, "Reads of the instance list that failed."},
		{instancesListingOlder, "Instance lists not taken in because they were older than the one before."},
	}
}
