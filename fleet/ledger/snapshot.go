package ledger

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
)

// snapshotVersion is the version of the encoding of snapshots. Readers refuse any other version.
const snapshotVersion = 1

// DefaultChunkBytes is the default maximum length, in bytes, of the data in a snapshot chunk.
const DefaultChunkBytes = 256 << 10

// EncodeSnapshot returns the payloads of the snapshot chunks that encode the state, each with up to chunkBytes bytes of
// data, or DefaultChunkBytes if chunkBytes isn't positive. Like Apply, it must not run concurrently with other methods.
// States that have folded the same entries encode to the same data.
func (s *State) EncodeSnapshot(writer Incarnation, chunkBytes int) ([][]byte, error) {
	if chunkBytes <= 0 {
		chunkBytes = DefaultChunkBytes
	}
	data, err := s.encode()
	if err != nil {
		return nil, fmt.Errorf("encoding a snapshot: %w", err)
	}
	chunk := snapshotChunk{
		Version: snapshotVersion, Instance: writer.Instance, Number: writer.Number, Next: uint64(s.next),
		Count: uint32((len(data) + chunkBytes - 1) / chunkBytes), Digest: sha256.Sum256(data),
	}
	payloads := make([][]byte, 0, chunk.Count)
	for data := range slices.Chunk(data, chunkBytes) {
		chunk.Data = data
		payload, err := chunk.MarshalMsg(nil)
		if err != nil {
			return nil, fmt.Errorf("encoding a snapshot: %w", err)
		}
		payloads = append(payloads, msgp.AppendUint64(payload, xxhash.Sum64(payload)))
		chunk.Index++
	}
	return payloads, nil
}

// Typical lengths of encoded rows, from which encode estimates the size of its buffer.
const (
	typicalBudgetBytes  = 64
	typicalRequestBytes = 34
)

// encode returns the data of a snapshot, before it is split into chunks.
func (s *State) encode() ([]byte, error) {
	window := s.Window.orDefault()
	header := snapshotHeader{
		Version: snapshotVersion, Next: uint64(s.next),
		Idempotent: window.Idempotent, NonIdempotent: window.NonIdempotent,
	}
	size := s.budgets.size*typicalBudgetBytes + s.requests.size()*typicalRequestBytes
	b, err := header.MarshalMsg(make([]byte, 0, size))
	if err != nil {
		return b, err
	}
	members := s.sortedMembers()
	if b, err = appendMembers(b, members); err != nil {
		return b, err
	}
	if b, err = appendBudgets(b, s.budgets.sorted()); err != nil {
		return b, err
	}
	if b, err = s.requests.appendOpen(b); err != nil {
		return b, err
	}
	for _, m := range members {
		if b, err = s.appendOpens(b, m); err != nil {
			return b, err
		}
	}
	for queue := range s.requests.closed {
		if b, err = s.requests.appendClosed(b, uint32(queue)); err != nil {
			return b, err
		}
	}
	return s.appendEnded(b)
}

// appendBudgets appends the section of the budgets and sets the snapshotIndex of each budget.
func appendBudgets(b []byte, budgets []*budget) ([]byte, error) {
	b = msgp.AppendArrayHeader(b, uint32(len(budgets)))
	var row budgetRow
	var err error
	for i, u := range budgets {
		u.snapshotIndex = uint32(i)
		row = budgetRow{
			Name: u.name, Ticket: u.ticket, Prepaid: int64(u.prepaid), Spent: int64(u.spent),
			Frozen: u.frozen, Share: int64(u.reserveShare), Forfeit: u.forfeitsResidue,
		}
		if b, err = row.MarshalMsg(b); err != nil {
			return b, err
		}
		if b, err = appendShares(b, u.shares); err != nil {
			return b, err
		}
	}
	return b, nil
}

// appendShares appends the array of a budget's shares.
func appendShares(b []byte, shares []share) ([]byte, error) {
	b = msgp.AppendArrayHeader(b, uint32(len(shares)))
	var row shareRow
	var err error
	for i := range shares {
		h := &shares[i]
		row = shareRow{Member: h.member.snapshotIndex, WorkingFree: int64(h.free[Working]), ReserveFree: int64(h.free[Reserve])}
		if b, err = row.MarshalMsg(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// appendOpen appends the section of the requests with open reservations, sorted by identifier.
func (t *requestTable) appendOpen(b []byte) ([]byte, error) {
	ids := slices.SortedFunc(maps.Keys(t.open), func(x, y RequestIdentifier) int { return slices.Compare(x[:], y[:]) })
	b = msgp.AppendArrayHeader(b, uint32(len(ids)))
	var err error
	for _, id := range ids {
		q := t.open[id]
		row := requestRow{Request: id, Fingerprint: uint64(q.fingerprint), Idempotent: q.idempotent, Billed: q.billed}
		if b, err = row.MarshalMsg(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// appendClosed appends the section of one queue of closed requests, in the order in which they were closed.
func (t *requestTable) appendClosed(b []byte, queue uint32) ([]byte, error) {
	count := uint32(0)
	for range t.currentElements(queue) {
		count++
	}
	b = msgp.AppendArrayHeader(b, count)
	var err error
	for c := range t.currentElements(queue) {
		row := closedRow{Request: c.id, Fingerprint: uint64(c.fingerprint), Closed: uint64(c.closedOffset)}
		if b, err = row.MarshalMsg(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// appendMembers appends the section of the incarnations and sets the snapshotIndex of each incarnation.
func appendMembers(b []byte, members []*member) ([]byte, error) {
	b = msgp.AppendArrayHeader(b, uint32(len(members)))
	var err error
	for i, m := range members {
		m.snapshotIndex = uint32(i)
		if b, err = m.append(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// append appends the row of an incarnation, its missing sequence numbers and its buffered groups.
func (m *member) append(b []byte) ([]byte, error) {
	row := memberRow{
		Instance: m.incarnation.Instance, Number: m.incarnation.Number, Suspended: m.status == suspended,
		AvailabilityZone: m.join.AvailabilityZone, Region: m.join.Region, Version: m.join.Version,
		PeerAddress: m.join.PeerAddress, Nonce: m.join.Nonce,
		ConfigurationOffset: uint64(m.heartbeat.ConfigurationOffset),
		ConfigurationNumber: m.heartbeat.ConfigurationNumber,
		LastSeen:            uint64(m.lastSeen), Applied: m.applied,
		HighestAttempt: m.attempts.highest, UsedAttempts: m.attempts.used,
	}
	b, err := row.MarshalMsg(b)
	if err != nil {
		return b, err
	}
	b = msgp.AppendArrayHeader(b, uint32(len(m.missing)))
	for _, gap := range m.missing {
		b = msgp.AppendUint64(msgp.AppendUint64(b, gap.From), gap.To)
	}
	b = msgp.AppendArrayHeader(b, uint32(len(m.buffered)))
	for _, g := range m.buffered {
		if b, err = appendGroup(b, &g); err != nil {
			return b, err
		}
	}
	return b, nil
}

// appendOpens appends the section of an incarnation's reservations, sorted by attempt number.
func (s *State) appendOpens(b []byte, m *member) ([]byte, error) {
	b = msgp.AppendArrayHeader(b, uint32(len(m.opens)))
	var err error
	for _, attempt := range slices.Sorted(maps.Keys(m.opens)) {
		o := m.opens[attempt]
		row := reservationRow{
			Attempt: attempt, Request: o.request, Budget: s.budgets.at(o.budgetSlot).snapshotIndex,
			Amount: int64(o.amount), Kind: uint8(o.kind),
		}
		if b, err = row.MarshalMsg(b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// appendEnded appends the section of the highest ended incarnation of each instance.
func (s *State) appendEnded(b []byte) ([]byte, error) {
	b = msgp.AppendArrayHeader(b, uint32(len(s.ended)))
	instances := slices.Sorted(maps.Keys(s.ended))
	var err error
	for _, instance := range instances {
		row := endedRow{Instance: instance, Number: s.ended[instance]}
		if b, err = row.MarshalMsg(b); err != nil {
			return b, err
		}
	}
	return b, nil
}
