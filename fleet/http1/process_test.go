package http1

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestJudgeProcess guards against answers that are cut without anything that contradicts them, and against ended processes that go unnoticed.
func TestJudgeProcess(t *testing.T) {
	end := time.Unix(1000, 0)
	opened := func(beforeEnd time.Duration) otherConnection { return otherConnection{openedAt: end.Add(-beforeEnd)} }
	lost := func(openedBefore, lostBefore time.Duration) otherConnection {
		return otherConnection{openedAt: end.Add(-openedBefore), lostAt: end.Add(-lostBefore)}
	}
	outlasted := func(c otherConnection) otherConnection {
		c.isOutlasted = true
		return c
	}
	only := func(c otherConnection) otherConnection {
		c.isOnly = true
		return c
	}
	old := 2 * time.Second
	later := old - witnessInterval
	for _, c := range []struct {
		name   string
		others []otherConnection
		want   processState
	}{
		{"nothing known", nil, processUnknown},
		{"one open", []otherConnection{opened(old)}, processGoesOn},
		{"one opened at the end", []otherConnection{opened(adoptMargin / 2)}, processUnknown},
		{"one lost with the end", []otherConnection{lost(old, 0)}, processUnknown},
		{"only one lost with the end", []otherConnection{only(lost(onlyAge/2, 0))}, processEnded},
		{"only one lost just after the end", []otherConnection{only(lost(onlyAge/2, -endSpread))}, processEnded},
		{"only one lost long after the end", []otherConnection{only(lost(onlyAge/2, -2*endSpread))}, processUnknown},
		{"only one lost before a part of the answer", []otherConnection{outlasted(only(lost(onlyAge/2, 0)))}, processUnknown},
		{"only one lost before the end", []otherConnection{only(lost(onlyAge, 2*endSpread))}, processUnknown},
		{"only one lost with the end, opened long before", []otherConnection{only(lost(old, 0))}, processUnknown},
		{"one of two lost with the end", []otherConnection{lost(onlyAge/2, 0)}, processUnknown},
		{"two lost with the end", []otherConnection{lost(old, 0), lost(later, 0)}, processEnded},
		{"two lost just after the end", []otherConnection{lost(old, -firstDelay), lost(later, 0)}, processEnded},
		{"two lost, one open", []otherConnection{lost(old, 0), lost(later, 0), opened(old)}, processGoesOn},
		{"two lost, one opened since", []otherConnection{lost(old, 0), lost(later, 0), opened(0)}, processEnded},
		{"two opened and lost together", []otherConnection{lost(old, 0), lost(old, 0)}, processUnknown},
		{"two lost one after the other", []otherConnection{lost(old, witnessInterval), lost(later, 0)}, processUnknown},
		{"two lost one after the other, the first late", []otherConnection{lost(old, 2*witnessInterval/3), lost(later, 0)}, processUnknown},
		{"two lost long before", []otherConnection{lost(old, 2*lossMargin), lost(later, 2*lossMargin)}, processUnknown},
		{"two lost before a part of the answer", []otherConnection{outlasted(lost(old, 0)), outlasted(lost(later, 0))}, processUnknown},
		{"two of three lost together", []otherConnection{lost(old, lossMargin/2), lost(old, 0), lost(later, 0)}, processEnded},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.want, judgeProcess(end, c.others)) })
	}
}

// TestDescribeAll guards against an answer that was cut for reasons that its log line doesn't tell.
func TestDescribeAll(t *testing.T) {
	end := time.Unix(1000, 0)
	before := func(d time.Duration) time.Time { return end.Add(-d) }
	for _, c := range []struct {
		others []otherConnection
		want   string
	}{
		{nil, "no other connections known"},
		{[]otherConnection{{openedAt: before(2 * time.Second), isTold: true}}, "connection, opened 2000 ms before, open"},
		{
			[]otherConnection{
				{openedAt: before(time.Second), lostAt: before(20 * time.Millisecond), isWitness: true, isTold: true},
				{openedAt: before(time.Second), lostAt: before(-5 * time.Millisecond), isWitness: true, isOnly: true, isOutlasted: true},
			},
			"witness, opened 1000 ms before, lost 20 ms before; witness, opened 1000 ms before, lost -5 ms before, by reads only, data arrived after that, no other witness",
		},
	} {
		assert.Equal(t, c.want, describeAll(end, c.others))
	}
}
