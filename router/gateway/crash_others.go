package gateway

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/endpoint"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

const (
	// otherRequestBytes is the encoded size of one of the otherRequests.
	otherRequestBytes = 16
	// answeringFlag is set in the first age if the answer was under way.
	answeringFlag = 1 << 31
)

// otherRequests encodes requests in progress at a crash in a few bytes each, in big-endian order: the fingerprint, and by how many
// milliseconds the request was sent and its exchange broke off before the timestamp of the crash.
type otherRequests []byte

// encodeOthers encodes the exposures that have a fingerprint. at is the timestamp of the crash in Unix milliseconds.
func encodeOthers(at int64, exposures []endpoint.InterruptedExchange) otherRequests {
	var o otherRequests
	for _, e := range exposures {
		if e.Fingerprint == 0 {
			continue
		}
		sent := encodeAge(at, e.SentAt)
		if e.IsAnswering {
			sent |= answeringFlag
		}
		o = binary.BigEndian.AppendUint64(o, uint64(e.Fingerprint))
		o = binary.BigEndian.AppendUint32(o, sent)
		o = binary.BigEndian.AppendUint32(o, encodeAge(at, e.InterruptedAt))
	}
	return o.first(maxRecordedOthers)
}

func encodeAge(at int64, t time.Time) uint32 {
	return uint32(min(max(0, at-t.UnixMilli()), math.MaxInt32))
}

// len returns the number of requests.
func (o otherRequests) len() int { return len(o) / otherRequestBytes }

// first returns up to n requests.
func (o otherRequests) first(n int) otherRequests { return o[:min(o.len(), n)*otherRequestBytes] }

// filter returns the requests whose fingerprints are wanted.
func (o otherRequests) filter(isWanted func(f ledger.Fingerprint) bool) otherRequests {
	var wanted otherRequests
	for i := range o.len() {
		encoded := o[i*otherRequestBytes : (i+1)*otherRequestBytes]
		if isWanted(ledger.Fingerprint(binary.BigEndian.Uint64(encoded))) {
			wanted = append(wanted, encoded...)
		}
	}
	return wanted
}

// exposures decodes the requests.
func (o otherRequests) exposures(at int64) []endpoint.InterruptedExchange {
	var exposures []endpoint.InterruptedExchange
	for i := range min(o.len(), maxRecordedOthers) {
		encoded := o[i*otherRequestBytes:]
		sent := binary.BigEndian.Uint32(encoded[8:])
		exposures = append(exposures, endpoint.InterruptedExchange{
			Fingerprint:   ledger.Fingerprint(binary.BigEndian.Uint64(encoded)),
			SentAt:        time.UnixMilli(at - int64(sent&^answeringFlag)),
			InterruptedAt: time.UnixMilli(at - int64(binary.BigEndian.Uint32(encoded[12:])&^answeringFlag)),
			IsAnswering:   sent&answeringFlag != 0,
		})
	}
	return exposures
}
