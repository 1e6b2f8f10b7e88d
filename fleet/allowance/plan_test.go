package allowance

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

func clockAt(uptime time.Duration) ClockReading {
	return ClockReading{Uptime: uptime, Wall: time.Unix(1_800_000_000, 0).Add(uptime)}
}

func TestPlan(t *testing.T) {
	position := Position{Holder: "a/1", Instance: "a", Version: 3, Prepaid: 1_000, Now: clockAt(time.Hour)}
	t.Run("first share", func(t *testing.T) {
		a, write := Policy{}.Plan(Account{}, position)
		assert.Equal(t, true, write)
		assert.Equal(t, int64(3), a.Version)
		assert.Equal(t, int64(DefaultDrawnFraction*DefaultIdleFraction*1_000), a.Shares["a/1"].Granted)
	})
	t.Run("older configuration is ignored", func(t *testing.T) {
		a, _ := Policy{}.Plan(Account{Version: 4, Prepaid: 500}, position)
		assert.Equal(t, int64(500), a.Prepaid)
	})
	t.Run("lowered total keeps reserved tokens", func(t *testing.T) {
		current := Account{Version: 2, Prepaid: 5_000, Shares: map[string]Share{"a/1": {Instance: "a", Granted: 3_000}}}
		loaded := position
		loaded.Usable, loaded.Reserved, loaded.Spent, loaded.NetUsed = 3_000, 700, 800, 800
		a, write := Policy{}.Plan(current, loaded)
		assert.Equal(t, true, write)
		assert.Equal(t, int64(1_500), a.Shares["a/1"].Granted)
		assert.Equal(t, int64(-500), a.Available())
	})
	t.Run("surplus is returned if another holder has unmet demand", func(t *testing.T) {
		current := Account{Version: 3, Prepaid: 1_000, Shares: map[string]Share{
			"a/1": {Instance: "a", Granted: 600}, "b/1": {Instance: "b", Granted: 400, Spent: 400, UnmetDemand: 500, Rate: 10},
		}}
		idle := position
		idle.Usable = 600
		a, write := Policy{}.Plan(current, idle)
		assert.Equal(t, true, write)
		assert.Equal(t, true, a.Shares["a/1"].Granted <= 100)
	})
	t.Run("received tokens can be returned", func(t *testing.T) {
		receiver := position
		receiver.NetUsed, receiver.Ending = -300, true
		a, _ := Policy{}.Plan(Account{Version: 3, Prepaid: 1_000, Shares: map[string]Share{"a/1": {Instance: "a"}}}, receiver)
		assert.Equal(t, int64(-300), a.Settled)
	})
}

func TestSettlement(t *testing.T) {
	share := Share{Instance: "a", Granted: 10_000, SpendingBound: SpendingBound{
		Base: 1_000, Burst: 200, Rate: 100, Uptime: time.Hour, WallMilliseconds: clockAt(time.Hour).Wall.UnixMilli(),
	}}
	for _, c := range []struct {
		name string
		now  ClockReading
		want int64
	}{
		{"process restarted", clockAt(time.Hour + 2*time.Second), 1_400},
		{"spending bound expired", clockAt(time.Hour + boundLifetime), 10_000},
		{"machine rebooted", ClockReading{Uptime: 30 * time.Second, Wall: clockAt(time.Hour + 2*time.Second).Wall}, 10_000},
		{"uptime after reboot happens to match", ClockReading{Uptime: time.Hour + time.Second, Wall: clockAt(2 * time.Hour).Wall}, 10_000},
		{"wall clock was set back", ClockReading{Uptime: time.Hour + time.Second, Wall: clockAt(time.Hour).Wall.Add(-2 * time.Second)}, 10_000},
		{"no uptime", ClockReading{Wall: clockAt(time.Hour).Wall}, 10_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, share.settlement(c.now))
		})
	}
}

func TestDecodeAccount(t *testing.T) {
	a := Account{Version: 1, Prepaid: 10, Shares: map[string]Share{"a/1": {Granted: -5, Spent: 2}}}
	encoded, err := a.Encode()
	assert.Must(t, err)
	decoded, err := DecodeAccount(encoded)
	assert.NoError(t, err)
	assert.Equal(t, a, decoded)
	for name, text := range map[string]string{
		"bytes": "\x00\x01", "negative use": `{"Used":-1}`, "negative share": `{"Shares":{"a":{"Spent":-1}}}`, "other type": `{"Prepaid":"x"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeAccount([]byte(text))
			assert.Fails(t, err)
		})
	}
}

// TestUnreadableAccount guards against drawing tokens from an account that cannot be decoded.
func TestUnreadableAccount(t *testing.T) {
	runRouters(t, 1_000, 1, func(r *testRouters) {
		h := r.holders["router-0"]
		partition := h.partitionOf("studio").number
		_, err := r.log.AppendAt(r.t.Context(), Topic, partition, platform.AnyOffset, keyed("studio", "not an account"))
		assert.Must(r.t, err)
		time.Sleep(3 * time.Second)
		r.assertRefuses("router-0", 900, ErrHeldElsewhere)
	})
}

func keyed(key, value string) []platform.KeyedRecord {
	return []platform.KeyedRecord{{Key: key, Value: []byte(value)}}
}
