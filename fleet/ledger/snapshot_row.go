package ledger

//go:generate go run github.com/tinylib/msgp@v1.6.5 -unexported -io=false -tests=false -file snapshot_row.go -o snapshot_row_gen.go
//msgp:tuple snapshotChunk snapshotHeader budgetRow memberRow shareRow reservationRow requestRow closedRow endedRow

// snapshotChunk is the payload of an entry of a snapshot stream. A checksum of its encoding follows it, so
// that a corrupt chunk can't take the place of a good one.
type snapshotChunk struct {
	Version uint8
	// Instance and Number are the incarnation that wrote the snapshot.
	Instance string
	Number   uint64
	// Next is the first offset that the snapshot doesn't cover.
	Next  uint64
	Index uint32
	Count uint32
	// Digest is the SHA-256 digest of the data of all chunks.
	Digest [32]byte
	Data   []byte
}

// snapshotHeader opens the data of a snapshot. The sections follow in the order of the rows below, each an
// array header with rows.
type snapshotHeader struct {
	Version       uint8
	Next          uint64
	Idempotent    uint64
	NonIdempotent uint64
}

// memberRow is a live or suspended incarnation. Its missing spans and buffered groups follow it as arrays.
// Shares refer to it by its position; its reservations stand in a section of their own.
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

// budgetRow is a budget; its shares follow it as an array. Other rows refer to it by its position.
type budgetRow struct {
	Name    string
	Ticket  uint64
	Prepaid int64
	Spent   int64
	Frozen  bool
	Share   int64
	Forfeit bool
}

// shareRow is what an incarnation holds of a budget without its open reservations.
type shareRow struct {
	Member      uint32
	WorkingFree int64
	ReserveFree int64
}

// requestRow is a request with opens.
type requestRow struct {
	Request     [16]byte
	Fingerprint uint64
	// Closed is of no use any more and zero.
	Closed     uint64
	Idempotent bool
	Billed     bool
}

// reservationRow is an open of an incarnation.
type reservationRow struct {
	Attempt uint64
	Request [16]byte
	Budget  uint32
	Amount  int64
	Kind    uint8
}

// closedRow is a billed request without opens; idempotent and other ones have a section each.
type closedRow struct {
	Request     [16]byte
	Fingerprint uint64
	Closed      uint64
}

// endedRow is the highest incarnation of an instance that ended.
type endedRow struct {
	Instance string
	Number   uint64
}
