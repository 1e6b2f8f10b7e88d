package endpoint

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestBrittlenessIsRead guards against values of the header that end a mark or raise its bound by mistake.
func TestBrittlenessIsRead(t *testing.T) {
	for value, want := range map[string]Brittleness{
		"": {}, " ": {}, "0": {IsBrittle: true}, "3": {true, 3}, " 3 ": {true, 3}, "2.9": {true, 2}, "1e2": {true, 100},
		"-1": {IsBrittle: true}, "many": {IsBrittle: true}, "NaN": {IsBrittle: true}, "-1e999": {IsBrittle: true},
		"1e999": {true, MaxBearableRefusals}, "99999999999999999999": {true, MaxBearableRefusals}, "Inf": {true, MaxBearableRefusals},
	} {
		t.Run(value, func(t *testing.T) { assert.Equal(t, want, ParseBrittleness(value)) })
	}
}

// TestRoutersDivideTheRoom guards against routers whose parts together exceed an endpoint's slots and half of the refusals that it can bear.
func TestRoutersDivideTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers, slots := rapid.IntRange(1, 400).Draw(t, "routers"), rapid.IntRange(1, 200).Draw(t, "slots")
		refusals := rapid.IntRange(0, 50).Draw(t, "refusals")
		now, m := time.Unix(1, 0), &ServiceMark{}
		m.Record(now, refusals)
		total := 0
		for position := range routers {
			var b RefusalBound
			for inProgress := 0; b.Admits(now, inProgress, slots, Fleet{Routers: routers, Position: position}, m); inProgress++ {
				total++
			}
		}
		if want := slots + refusals/2; total != want {
			t.Errorf("the parts add up to %d requests, want %d", total, want)
		}
	})
}

// TestMarkEnds guards against a mark that an older answer ends, or that outlasts the brittleness.
func TestMarkEnds(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(int64(seconds), 0) }
	marked, f := Brittleness{true, 1}, Fleet{Routers: 6, Position: 5}
	m := &ServiceMark{}
	var b, other RefusalBound
	admits := func(b *RefusalBound, second int) bool { return b.Admits(at(second), 1, 6, f, m) }
	assert.Equal(t, true, admits(&b, 1))
	assert.Equal(t, true, b.RecordAnswer(at(1), at(3), marked, m))
	assert.Equal(t, []bool{false, false}, []bool{admits(&b, 3), admits(&other, 3)})
	assert.Equal(t, false, b.RecordAnswer(at(2), at(4), Brittleness{}, m))
	assert.Equal(t, false, other.RecordAnswer(at(2), at(4), Brittleness{}, m))
	assert.Equal(t, []bool{false, false}, []bool{admits(&b, 4), admits(&other, 4)})
	assert.Equal(t, true, b.RecordAnswer(at(4), at(5), Brittleness{}, m))
	assert.Equal(t, []bool{true, false}, []bool{admits(&b, 5), admits(&other, 5)})
	assert.Equal(t, true, admits(&other, 40))
}

// TestBoundFallsAfterARefusal guards against a router that sends an endpoint as many requests again as it has refused.
func TestBoundFallsAfterARefusal(t *testing.T) {
	for _, refusals := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(refusals), func(t *testing.T) {
			now, m, f := time.Unix(1, 0), &ServiceMark{}, Fleet{Routers: 2}
			var b RefusalBound
			b.RecordAnswer(now, now, Brittleness{true, refusals}, m)
			assert.Equal(t, true, b.Admits(now, 7, 16, f, m))
			b.RecordRefusal(now, now, 7, 16, f, m)
			assert.Equal(t, false, b.Admits(now.Add(refusalWindow/2), 0, 16, f, m))
			later := now.Add(refusalWindow)
			assert.Equal(t, []bool{true, false}, []bool{b.Admits(later, 5, 16, f, m), b.Admits(later, 6, 16, f, m)})
			assert.Equal(t, true, b.Admits(now.Add(time.Minute), 7, 16, f, m))
		})
	}
}

// TestRouterThatStartsWaits guards against a router that starts and sends a brittle endpoint requests beside those of its former process.
func TestRouterThatStartsWaits(t *testing.T) {
	now, m, f := time.Unix(100, 0), &ServiceMark{}, Fleet{Routers: 1}
	m.RecordReport(now, time.Minute, 3, true)
	var b RefusalBound
	assert.Equal(t, true, b.Admits(now, 99, 1, f, m))
	m.RecordReport(now, time.Second, 3, true)
	assert.Equal(t, []bool{false, true}, []bool{b.Admits(now, 0, 1, f, m), b.Admits(now.Add(formerRequestsTime), 0, 1, f, m)})
}

// TestBrokenOffRequestsOccupyTheEndpoint guards against requests sent in place of ones that the endpoint may still work on, and against a record of
// them that grows without bound.
func TestBrokenOffRequestsOccupyTheEndpoint(t *testing.T) {
	now, m, f := time.Unix(1, 0), &ServiceMark{}, Fleet{Routers: 1}
	var b RefusalBound
	for range 100 {
		b.RecordBrokenOff(now)
		now = now.Add(brokenOffTime)
	}
	assert.Equal(t, 1, len(b.brokenOff))
	b.RecordAnswer(now, now, Brittleness{IsBrittle: true}, m)
	b.RecordBrokenOff(now)
	assert.Equal(t, []bool{false, true}, []bool{b.Admits(now, 1, 2, f, m), b.Admits(now.Add(brokenOffTime), 1, 2, f, m)})
}

// TestReportsAreNotPassedOn guards against a mark that outlasts the brittleness since routers report it to each other.
func TestReportsAreNotPassedOn(t *testing.T) {
	now, m := time.Unix(100, 0), &ServiceMark{}
	m.RecordReport(now, time.Second, 3, false)
	_, _, isReported := m.Report(now)
	assert.Equal(t, []bool{true, false}, []bool{m.IsInForce(now), isReported})
	m.Record(now, 2)
	refusals, age, isReported := m.Report(now.Add(time.Second))
	assert.Equal(t, true, isReported)
	assert.Equal(t, 2, refusals)
	assert.Equal(t, time.Second, age)
}
