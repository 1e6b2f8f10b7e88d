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
	configurationRegions           = "configuration.regions"
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
		{configurationReadTruncated, "Reads of the configuration stream at offsets that the log no longer keeps."},
		{configurationPeerEntries, "Updates of the configuration received from another router while the log did not answer."},
		{configurationTicketAccepted, "Change tickets that came into force; after a restart, the router counts those in the log again."},
		{configurationTicketRefused, "Change tickets refused because they conflict with the configuration."},
		{configurationTicketDuplicate, "Duplicates of accepted change tickets; they have no effect."},
		{configurationTicketMalformed, "Entries of the configuration stream that are not a valid change ticket; they have no effect."},
		{configurationEntryOutOfOrder, "Entries skipped because their offset was not the next one, for example because another router had already supplied them."},
		{configurationRegions, "Mistakes in allowed regions, such as a route and a team without a region in common, once for each configuration that has other ones."},
		{configurationSnapshotWritten, "Snapshots of the configuration that this router wrote."},
		{configurationSnapshotFailed, "Snapshots of the configuration that could not be encoded or could not be appended completely."},
		{configurationSnapshotMissing, "Failed searches for a snapshot that covers the entries dropped from the log; a new router does not become ready without one."},
		{configurationSnapshotMalformed, "Chunks of configuration snapshots that are malformed, or that complete a snapshot with a wrong digest."},
		{instancesReadFailed, "Reads of the instance list that failed."},
		{instancesListingOlder, "Instance lists ignored because they were older than the previous one."},
	}
}
