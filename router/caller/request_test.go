package caller

import (
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/verdict"
	"github.com/dragonflyworks/dragonflyworks/router/endpoint"
)

// datedKey returns a UUID of the given version whose first 48 bits are the Unix time in milliseconds, age before now.
func datedKey(version byte, age time.Duration) string {
	id := uuid.UUID{6: version << 4, 8: 0x80}
	var now [8]byte
	binary.BigEndian.PutUint64(now[:], uint64(time.Now().Add(-age).UnixMilli()))
	copy(id[:6], now[2:])
	return id.String()
}

// TestDatedKeys guards against a non-idempotent request that runs twice: a repeated key is recognized only while the ledger's
// window contains it, so routes with DatedKeys must refuse keys that are too old or of unknown age.
func TestDatedKeys(t *testing.T) {
	const limit = 34_952_533 * time.Millisecond // Half the time in which 240 appends per second fill a window of 2²⁴ offsets.
	undated, tooOld := string(verdict.IdempotencyKeyUndated), string(verdict.IdempotencyKeyTooOld)
	for _, c := range []struct {
		name, path, idempotent string
		version                byte
		age                    time.Duration
		want                   refusalResponse
	}{
		{"new", "/seats", "", 7, 0, refusalResponse{}},
		{"at the limit", "/seats", "", 7, limit, refusalResponse{}},
		{"beyond the limit", "/seats", "", 7, limit + time.Millisecond, refusalResponse{409, tooOld, "MayHaveRun", false}},
		{"at the maximum clock skew", "/seats", "", 7, -time.Minute, refusalResponse{}},
		{"beyond the maximum clock skew", "/seats", "", 7, -time.Minute - time.Millisecond, refusalResponse{400, undated, "MayHaveRun", false}},
		{"random", "/seats", "", 4, 0, refusalResponse{400, undated, "MayHaveRun", false}},
		{"not a UUID", "/seats", "", 0, 0, refusalResponse{400, undated, "MayHaveRun", false}},
		{"declared idempotent", "/seats", "true", 0, 0, refusalResponse{400, undated, "MayHaveRun", false}},
		{"old key on a route without DatedKeys", "/deposits", "", 7, 2 * limit, refusalResponse{}},
		{"not a UUID on a route without DatedKeys", "/deposits", "", 0, 0, refusalResponse{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				key := "booking-1"
				if c.version > 0 {
					key = datedKey(c.version, c.age)
				}
				s, accounts, dispatcher := setUp(t)
				dispatcher.result = endpoint.Result{Verdict: verdict.Ran, ResponseStarted: true}
				w := send(s, "POST", c.path, "", HeaderAuthorization, "Bearer "+keyLuzon, HeaderIdempotencyKey, key, HeaderIdempotent, c.idempotent)
				if c.want.Code == "" {
					assert.Equal(t, 1, len(accounts.demands))
					return
				}
				assert.Equal(t, c.want, parseRefusal(t, w))
				assert.Equal(t, 0, len(accounts.demands))
			})
		})
	}
}
