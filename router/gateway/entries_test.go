package gateway

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// newDirectoriesTest returns a follower whose entries can be decoded if they are "ready", and its log lines.
func newDirectoriesTest() (*Directories, *memory.Handler) {
	lines := memory.New()
	decode := func(key string, value []byte) (site.Endpoint, error) {
		if string(value) != "ready" {
			return site.Endpoint{}, errors.New("odd entry: " + string(value))
		}
		return site.Endpoint{Name: key, Service: "engine"}, nil
	}
	return &Directories{
		Board: &Board{Metrics: metrics.NewRegistry()}, Source: Source{DecodeEndpoint: decode},
		Logger: &log.Logger{Handler: lines, Level: log.WarnLevel},
	}, lines
}

func record(key, value string) platform.KeyedRecord {
	return platform.KeyedRecord{Key: key, Value: []byte(value)}
}

// TestOddEntryIsNamedInTheLog guards against an entry that can't be decoded and that no log line names, and against
// lines without bounds.
func TestOddEntryIsNamedInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, lines := newDirectoriesTest()
		for range 100 {
			d.apply(time.Now(), batch{records: []platform.KeyedRecord{record("i-1", "ready"), record("i-2", strings.Repeat("x", 1<<20))}})
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, 1, len(lines.Entries))
		assert.Equal(t, "i-2", lines.Entries[0].Fields[fieldEndpoint])
		message := fmt.Sprint(lines.Entries[0].Fields["error"])
		assert.Equal(t, true, strings.HasPrefix(message, "odd entry: xxx") && len(message) < 1000)
		for i := range 10_000 {
			d.apply(time.Now(), batch{records: []platform.KeyedRecord{record(fmt.Sprintf("odd-%d", i), "x")}})
		}
		assert.Equal(t, true, len(lines.Entries) <= maxOddEntryLines)
		time.Sleep(oddEntryLogInterval)
		d.apply(time.Now(), batch{records: []platform.KeyedRecord{record("i-2", "x")}})
		assert.Equal(t, "i-2", lines.Entries[len(lines.Entries)-1].Fields[fieldEndpoint])
		assert.Equal(t, 1, len(d.registry.Directory().Endpoints("engine")))
	})
}

// TestOddEntryAfterOutage guards against an endpoint that stays in use after another writer has replaced its entry
// while expired entries are retained.
func TestOddEntryAfterOutage(t *testing.T) {
	for _, isSnapshot := range []bool{false, true} {
		t.Run(fmt.Sprintf("snapshot %v", isSnapshot), func(t *testing.T) {
			d, _ := newDirectoriesTest()
			now := time.Now()
			d.apply(now, batch{records: []platform.KeyedRecord{record("i-1", "ready"), record("i-2", "ready"), record("i-3", "ready")}, isSnapshot: true})
			d.registry.SetUnreachable(now, true)
			d.registry.SetUnreachable(now, false)
			received := batch{records: []platform.KeyedRecord{record("i-1", "ready"), record("i-2", "x")}, isSnapshot: isSnapshot}
			if !isSnapshot {
				received.records = append(received.records, record("i-3", ""))
			}
			d.apply(now, received)
			d.apply(now, batch{records: []platform.KeyedRecord{record("i-3", "x")}})
			var names []string
			for _, e := range d.registry.Directory().Endpoints("engine") {
				names = append(names, e.Name)
			}
			assert.Equal(t, []string{"i-1"}, names)
		})
	}
}

// TestOddCrashRecord guards against a time far ahead in a router's crash record, after which none of its crashes counts.
func TestOddCrashRecord(t *testing.T) {
	now := time.Now()
	for name, odd := range map[string]string{
		"time of 2^63-1": `{"Crashes":[{"Crash":"c","At":9223372036854775807}],"Answers":[{"At":9223372036854775807}],"Blocked":[{"At":9223372036854775807}]}`,
		"time below":     `{"Crashes":[{"Crash":"c","At":-9223372036854775808}]}`,
		"1e999":          `{"Crashes":[{"Crash":"c","At":1e999}]}`,
		"null":           `null`, "list": `[]`, "bytes": "\xff", "deep": strings.Repeat("[", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrashTracker(&Board{Metrics: metrics.NewRegistry()}, &log.Logger{Handler: memory.New()})
			c.mergeRecord(now, "b", false, []byte(odd))
			c.mergeRecord(now, "self", true, []byte(odd))
			for i, crash := range []string{"i-1/1", "i-2/1"} {
				at := now.Add(time.Duration(i) * time.Second).UnixMilli()
				c.mergeRecord(now, "b", false, fmt.Appendf(nil, `{"Crashes":[{"Crash":%q,"At":%d,"Requests":[{"Fingerprint":5,"Begun":%d,"Broke":%d}]}]}`,
					crash, at, at-100, at))
			}
			assert.Equal(t, true, c.quarantineRemaining(now.Add(time.Second), 5) > 0)
			next := c.nextTimestampLocked(now)
			assert.Equal(t, true, next > 0 && next < now.Add(time.Hour).UnixMilli())
		})
	}
}

// TestOddLimitRecord guards against an age out of range in a router's record of rate limits, after which the endpoint can't
// end the limit, and against a record that fills the memory.
func TestOddLimitRecord(t *testing.T) {
	for _, age := range []string{"-9223372036854775808", "9223372036854775807", "-86400000", "1e999"} {
		t.Run(age, func(t *testing.T) {
			g := newGatewayTest(t, answerSealed("answer"))
			g.server.targets.routers = &Routers{}
			g.server.mergeLimits(time.Now(), "b", []byte(`{"Limits":[{"Endpoint":"plaina","StartedAt":0,"Rate":0.01,"AgeMilliseconds":`+age+`}]}`))
			l := g.server.targets.limitLocked(endpointProcess{"plaina", 0})
			l.RecordAnswer(time.Now().Add(time.Millisecond), time.Now().Add(time.Millisecond), 0)
			assert.Equal(t, 0.0, l.Rate())
		})
	}
	t.Run("more limits than a router writes", func(t *testing.T) {
		g := newGatewayTest(t)
		g.server.targets.routers = &Routers{}
		g.server.mergeLimits(time.Now(), "b", []byte(`{"Limits":[`+strings.Repeat(`{"Endpoint":"x","Rate":1},`, maxRecordedLimits)+`{"Endpoint":"y","Rate":1}]}`))
		assert.Equal(t, 1, len(g.server.targets.limits))
	})
}
