package memory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

const streamName = "ledger-0"

func TestLog(t *testing.T) {
	t.Run("offsets", func(t *testing.T) {
		log := &Log{}
		appendAll(t, log, "a", "b", "c")
		assertRead(t, log, 1, 1, "b")
		assertRead(t, log, 1, 9, "b", "c")
		assertRead(t, log, 3, 9)
	})
	t.Run("retention by entries", func(t *testing.T) {
		log := &Log{}
		log.SetRetention(Retention{Entries: 2})
		appendAll(t, log, "a", "b", "c")
		assertTruncated(t, log, 0, 1)
		assertRead(t, log, 1, 9, "b", "c")
	})
	t.Run("retention by age", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := &Log{}
			log.SetRetention(Retention{Age: time.Minute})
			appendAll(t, log, "a")
			time.Sleep(30 * time.Second)
			appendAll(t, log, "b")
			time.Sleep(30 * time.Second)
			assertTruncated(t, log, 0, 1)
			assertRead(t, log, 1, 9, "b")
		})
	})
	t.Run("a read stops at the maximum size", func(t *testing.T) {
		log := &Log{}
		long := string(make([]byte, platform.MaxReadBytes*2/3))
		appendAll(t, log, long, long)
		assertRead(t, log, 0, 9, long)
	})
}

func TestFaults(t *testing.T) {
	t.Run("outage", func(t *testing.T) {
		log := &Log{}
		log.SetOutage(true)
		_, err := log.Append(t.Context(), streamName, []byte("a"))
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = log.Read(t.Context(), streamName, 0, 1)
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		log.SetOutage(false)
		assertRead(t, log, 0, 9)
	})
	t.Run("outage for a duration", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := &Log{}
			log.OutageFor(5 * time.Second)
			time.Sleep(5*time.Second - time.Nanosecond)
			_, err := log.Read(t.Context(), streamName, 0, 1)
			assert.ErrorIs(t, err, platform.ErrUnavailable)
			time.Sleep(time.Nanosecond)
			assertRead(t, log, 0, 9)
		})
	})
	t.Run("context ends during the delay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := &Log{}
			log.SetDelay(time.Minute)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := log.Append(ctx, streamName, []byte("a"))
			assert.ErrorIs(t, err, platform.ErrUnavailable)
			assert.ErrorIs(t, err, context.DeadlineExceeded)
			assertRead(t, log, 0, 9)
		})
	})
	t.Run("append rate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			log := &Log{}
			log.SetAppendRate(100)
			start := time.Now()
			appendAll(t, log, "a", "b", "c")
			assert.Equal(t, 20*time.Millisecond, time.Since(start))
		})
	})
	t.Run("appends with a lost response take effect", func(t *testing.T) {
		log := &Log{}
		log.LoseResponses(1, 7)
		_, err := log.Append(t.Context(), streamName, []byte("a"))
		assert.ErrorIs(t, err, platform.ErrUnavailable)
		assertRead(t, log, 0, 9, "a")
	})
}

func TestInstanceList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &InstanceList{}
		list.SetLag(10 * time.Second)
		list.Register(platform.Instance{Name: "b", State: platform.Live})
		list.Register(platform.Instance{Name: "a", State: platform.Live})
		assertListing(t, list, platform.Listing{})
		time.Sleep(10 * time.Second)
		list.MarkLeaving("a")
		live := platform.Listing{Version: 2, Instances: []platform.Instance{
			{Name: "a", State: platform.Live}, {Name: "b", State: platform.Live},
		}}
		assertListing(t, list, live)
		time.Sleep(10 * time.Second)
		list.Remove("b")
		assertListing(t, list, platform.Listing{Version: 3, Instances: []platform.Instance{
			{Name: "a", State: platform.Leaving}, {Name: "b", State: platform.Live},
		}})
		list.SetLag(0)
		assertListing(t, list, platform.Listing{Version: 4, Instances: []platform.Instance{{Name: "a", State: platform.Leaving}}})
	})
}

// appendAll appends the payloads to the stream in order.
func appendAll(t *testing.T, log platform.Log, payloads ...string) {
	t.Helper()
	for _, payload := range payloads {
		if _, err := log.Append(t.Context(), streamName, []byte(payload)); err != nil {
			t.Fatalf("append: %v", err)
		}
	}
}

// assertRead checks the payloads and offsets that a read of the stream returns.
func assertRead(t *testing.T, log platform.Log, from platform.Offset, limit int, want ...string) {
	t.Helper()
	entries, err := log.Read(t.Context(), streamName, from, limit)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	var got []string
	for i, entry := range entries {
		got = append(got, string(entry.Payload))
		assert.Equal(t, from+platform.Offset(i), entry.Offset)
	}
	assert.Equal(t, want, got)
}

// assertTruncated checks that a read from an offset fails, with the given first retained offset.
func assertTruncated(t *testing.T, log platform.Log, from, first platform.Offset) {
	t.Helper()
	_, err := log.Read(t.Context(), streamName, from, 1)
	var truncated *platform.TruncatedError
	if !errors.As(err, &truncated) {
		t.Fatalf("got error %v, want a truncation error", err)
	}
	assert.Equal(t, &platform.TruncatedError{Stream: streamName, First: first}, truncated)
}

// assertListing checks the listing that the instance list returns.
func assertListing(t *testing.T, list *InstanceList, want platform.Listing) {
	t.Helper()
	got, err := list.Instances(t.Context())
	if err != nil {
		t.Fatalf("instances: %v", err)
	}
	assert.Equal(t, want, got)
}
