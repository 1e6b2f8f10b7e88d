package listener

// Names of counters.
const (
	connectionClosedForNew   = "connection.closed_for_new"
	connectionClosedForHeads = "connection.closed_for_heads"
	connectionHeldBack       = "connection.held_back"
	connectionRefused        = "connection.refused"
	headTooManyLines         = "head.too_many_lines"
	headNoMemory             = "head.no_memory"
)

// Description is the name of a counter and what it measures.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of the package's counters.
func Counters() []Description {
	return []Description{
		{connectionClosedForNew, "Connections without a request in progress closed for new ones, since there were too many."},
		{connectionClosedForHeads, "Connections closed since the heads on them stayed unfinished while the memory for heads was full."},
		{connectionHeldBack, "Connections closed since most was unread on them while unread bytes exceeded their memory."},
		{connectionRefused, "New connections closed at once, since there were too many and all had requests in progress."},
		{headTooManyLines, "Heads of requests refused before they were complete, since they had too many lines."},
		{headNoMemory, "Heads of requests refused since those of requests in progress held all of the memory for heads."},
	}
}
