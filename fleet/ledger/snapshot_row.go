package ledger

//go:generate go run github.com/tinylib/msgp@v1.6.5 -unexported -io=false -tests=false -file snapshot_row.go -o snapshot_row_gen.go
//msgp:tuple snapshotChunk snapshotHeader budgetRow memberRow shareRow reservationRow requestRow closedRow endedRow

// snapshotChunk is the payload of an entry of a snapshot stream. In the payload, an xxHash checksum of the encoded
// chunk follows it, so that a corrupt chunk is rejected and can't displace the correct copy.
type snapshotChunk struct {
	Version uint8
	// Instance and Number identify the incarnation that wrote the snapshot.
	Instance string
	Number   uint64
	// Next is the first offset that the snapshot doesn't cover.
	Next  uint64
	Index uint32
	Count uint32
	// Digest is the SHA-256 digest of the concatenated data of all chunks of the snapshot.
	Digest [32]byte
	Data   []byte
}

// snapshotHeader is the first row in the data of a snapshot. The sections follow it in the order of the row types
// below. Each section is an array header with its rows.
type snapshotHeader struct {
	Version       uint8
	Next          uint64
	Idempotent    uint64
	NonIdempotent uint64
}

// memberRow is a live or suspended incarnation. Its missing sequence numbers and its buffered groups follow it as
// arrays. Shares refer to an incarnation by its index in this section; its reservations have a section of their own.
type memberRow struct {
	Instance            string
	Number              uint64
	Suspended           bool
	AvailabilityZone    string
	Region              string
	Version             string
	PeerAddress         string
	Nonce               uint64
	ConfigurationOffset uint64
	ConfigurationNumber uint64
	LastSeen            uint64
	Applied             uint64
	HighestAttempt      uint64
	UsedAttempts        [16]uint64
}

// budgetRow is a budget. Its shares follow it as an array. Other rows refer to a budget by its index in this section.
type budgetRow struct {
	Name    string
	Ticket  uint64
	Prepaid int64
	Spent   int64
	Frozen  bool
	Share   int64
	Forfeit bool
}

// shareRow is the free part of the share that an incarnation holds in a budget. The reserved part follows from the
// incarnation's reservations.
type shareRow struct {
	Member      uint32
	WorkingFree int64
	ReserveFree int64
}

// requestRow is a request with open reservations.
type requestRow struct {
	Request     [16]byte
	Fingerprint uint64
	// Closed is unused and always zero. It remains because rows are encoded as arrays of fixed length.
	Closed     uint64
	Idempotent bool
	Billed     bool
}

// reservationRow is an open reservation of an incarnation.
type reservationRow struct {
	Attempt uint64
	Request [16]byte
	Budget  uint32
	Amount  int64
	Kind    uint8
}

// closedRow is a billed request without an open reservation. Idempotent and other requests have separate sections.
type closedRow struct {
	Request     [16]byte
	Fingerprint uint64
	Closed      uint64
}

// endedRow is the highest number of an incarnation of an instance that has ended.
type endedRow struct {
	Instance string
	Number   uint64
}
