package endpoint

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestColdTimes guards against an endpoint that counts as warm before the longest of the times that its entry, its answers and this router's
// observations give, and against a presumption that an entry can't end.
func TestColdTimes(t *testing.T) {
	const coldTime = 3 * time.Second
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	for _, c := range []struct {
		name string
		play func(c *Cold)
		// coldUntil is when the endpoint becomes warm, in milliseconds.
		coldUntil int
		reason    ColdReason
	}{
		{"nothing known", func(*Cold) {}, 0, NotCold},
		{"entry", func(c *Cold) { c.RecordEntry(EntryArrival{ReadAt: at(0)}, 1, 2*time.Second) }, 2000, ColdByEntry},
		{"newer entry", func(c *Cold) {
			c.RecordEntry(EntryArrival{ReadAt: at(-500)}, 1, 3*time.Second)
			c.RecordEntry(EntryArrival{ReadAt: at(0)}, 1, time.Second)
		}, 1000, ColdByEntry},
		{"answer is longer", func(c *Cold) {
			c.RecordEntry(EntryArrival{ReadAt: at(0)}, 1, time.Second)
			c.RecordAnswer(at(0), 2*time.Second)
		}, 2000, ColdByAnswer},
		{"lost only", func(c *Cold) { c.RecordLoss(at(0)) }, 0, NotCold},
		{"lost and reached again", func(c *Cold) {
			c.RecordLoss(at(-100))
			assert.Equal(t, true, c.RecordConnection(at(0), at(-1), coldTime))
			assert.Equal(t, false, c.RecordConnection(at(0), at(0), coldTime))
		}, 3000, ColdAfterLoss},
		{"a connection from before the loss", func(c *Cold) {
			c.RecordLoss(at(-100))
			assert.Equal(t, false, c.RecordConnection(at(0), at(-101), coldTime))
			assert.Equal(t, false, c.RecordConnection(at(0), at(0), coldTime))
		}, 0, NotCold},
		{"the router was cut off", func(c *Cold) {
			c.RecordLoss(at(-100))
			c.ForgetLoss()
			assert.Equal(t, false, c.RecordConnection(at(0), at(0), coldTime))
		}, 0, NotCold},
		{"an entry of the new process says otherwise", func(c *Cold) {
			c.RecordEntry(EntryArrival{ReadAt: at(-5000)}, 1, 0)
			c.Presume(at(-500), ColdAfterLoss, coldTime)
			c.RecordEntry(EntryArrival{ReadAt: at(0), WrittenAfter: at(-400)}, 2, time.Second)
		}, 1000, ColdByEntry},
		{"an entry of the same process says otherwise", func(c *Cold) {
			c.RecordEntry(EntryArrival{ReadAt: at(-5000)}, 1, 0)
			c.Presume(at(-1500), ColdAfterEvacuation, coldTime)
			c.RecordEntry(EntryArrival{ReadAt: at(0), WrittenAfter: at(-500)}, 1, 0)
		}, 0, NotCold},
		{"an entry that the former process may have written", func(c *Cold) {
			c.RecordEntry(EntryArrival{ReadAt: at(-5000)}, 1, 0)
			c.Presume(at(-500), ColdAfterLoss, coldTime)
			c.RecordEntry(EntryArrival{ReadAt: at(0), WrittenAfter: at(-400)}, 1, 0)
		}, 2500, ColdAfterLoss},
		{"an entry of a snapshot, of unknown age", func(c *Cold) {
			c.Presume(at(-500), ColdAfterLoss, coldTime)
			c.RecordEntry(EntryArrival{ReadAt: at(0)}, 2, 0)
		}, 2500, ColdAfterLoss},
		{"lost, and then an entry by a new process", func(c *Cold) {
			c.RecordEntry(EntryArrival{ReadAt: at(-5000)}, 1, 0)
			c.RecordLoss(at(-500))
			c.RecordEntry(EntryArrival{ReadAt: at(0), WrittenAfter: at(-400)}, 2, 2*time.Second)
			assert.Equal(t, false, c.RecordConnection(at(0), at(0), coldTime))
		}, 2000, ColdByEntry},
	} {
		t.Run(c.name, func(t *testing.T) {
			var cold Cold
			c.play(&cold)
			assert.Equal(t, c.reason, cold.Reason(at(0)))
			if c.reason != NotCold {
				assert.Equal(t, time.Duration(c.coldUntil)*time.Millisecond, cold.TimeLeft(at(0)))
				assert.Equal(t, NotCold, cold.Reason(at(c.coldUntil)))
			}
		})
	}
}

// TestColdPlans guards against shares that allow more than the operators' bounds, or that can't use the rate.
func TestColdPlans(t *testing.T) {
	for _, b := range []ColdBounds{DefaultColdBounds(), {Overage: 1, Slack: 2}, {Overage: 3, Slack: 0}} {
		for _, rate := range []float64{0.5, 1, 2, 5, 9.6, 20, 100, 1000} {
			for _, routers := range []int{1, 6, 68, 295} {
				p := PlanCold(rate, b, routers)
				atOnce := coldUse*rate + float64(p.Sharers)
				assert.Equal(t, true, p.Sharers >= 1 && p.Sharers <= routers)
				assert.Equal(t, true, p.Sharers == 1 || atOnce <= b.perSecond(rate))
				assert.Equal(t, true, p.Sharers == 1 || p.Rate > spacedRate || float64(rosterMargin*p.Sharers) <= b.perSecond(rate))
				assert.Equal(t, true, float64(p.Sharers)*p.Rate <= 0.901*rate)
				if b == DefaultColdBounds() && rate == 9.6 && routers > 1 {
					assert.Equal(t, true, float64(p.Sharers)*p.Rate > 0.8*rate)
				}
			}
		}
	}
}

// TestColdShare guards against a share that is used before it has accrued, by a router without one, or for several requests at once.
func TestColdShare(t *testing.T) {
	started := time.Now()
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	use := ColdUse{Plan: ColdPlan{Sharers: 2, Rate: 1}, StartedAt: started}
	var s ColdShare
	assert.Equal(t, false, s.Take(at(0.9), use, false))
	wait, ok := s.TimeToAdmission(at(0.9), use)
	assert.Equal(t, true, ok && wait.Round(time.Millisecond) == 100*time.Millisecond)
	assert.Equal(t, true, s.Admits(at(1), use))
	s.Reserve(at(1))
	assert.Equal(t, false, s.Admits(at(1), use))
	assert.Equal(t, false, s.Take(at(1), use, false))
	assert.Equal(t, true, s.Take(at(1), use, true))
	assert.Equal(t, false, s.Take(at(1.9), use, false))
	assert.Equal(t, true, s.Take(at(9), use, false))
	assert.Equal(t, false, s.Take(at(9), use, false))
	s.Reserve(at(19))
	assert.Equal(t, false, s.Admits(at(20.9), use))
	assert.Equal(t, true, s.Admits(at(21), use))
	without := use
	without.Position = 2
	assert.Equal(t, false, s.Take(at(99), without, false))
	_, ok = s.TimeToAdmission(at(99), without)
	assert.Equal(t, false, ok)
}
