package bodies

// Names of counters.
const (
	bodyWaited = "body.waited"
	bodyNoRoom = "body.no_room"
	bodyGaveUp = "body.wait_over"
	bodyCut    = "body.cut_slow"
)

// Description is the name of a counter and what it measures.
type Description struct {
	Name    string
	Meaning string
}

// Counters returns the descriptions of the package's counters.
func Counters() []Description {
	return []Description{
		{bodyWaited, "Bodies of requests that were not read at once, since the memory for bodies was full."},
		{bodyNoRoom, "Bodies refused at once: larger than the memory for bodies, or behind too many others."},
		{bodyGaveUp, "Bodies for which there was no room before their wait was over."},
		{bodyCut, "Bodies that were given up since their senders were too slow while others waited for room."},
	}
}
