package places

import (
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// TestEvacuatedZones guards against evacuations that are missed, outlive their records, or depend on what the records say.
func TestEvacuatedZones(t *testing.T) {
	record := func(key, value string) platform.KeyedRecord {
		return platform.KeyedRecord{Key: key, Value: []byte(value)}
	}
	for _, c := range []struct {
		name       string
		records    []platform.KeyedRecord
		isSnapshot bool
		want       site.Evacuations
		counts     map[string]int
	}{
		{"another record", []platform.KeyedRecord{record("config", "{}")}, false, site.Evacuations{"n-1": {}}, map[string]int{}},
		{"a further zone", []platform.KeyedRecord{record("e/n-2", "{}")}, false, site.Evacuations{"n-1": {}, "n-2": {}}, map[string]int{evacuationChanged: 1}},
		{"the end", []platform.KeyedRecord{record("e/n-1", "")}, false, site.Evacuations{}, map[string]int{evacuationChanged: 1}},
		{"end and begin", []platform.KeyedRecord{record("e/n-1", ""), record("e/n-1", "{}")}, false, site.Evacuations{"n-1": {}}, map[string]int{}},
		{"a snapshot replaces all", []platform.KeyedRecord{record("e/s-1", " {} ")}, true, site.Evacuations{"s-1": {}}, map[string]int{evacuationChanged: 1}},
		{"an empty snapshot", nil, true, site.Evacuations{}, map[string]int{evacuationChanged: 1}},
		{"an unreadable value", []platform.KeyedRecord{record("e/n-2", "\xff")}, false, site.Evacuations{"n-1": {}, "n-2": {}}, map[string]int{evacuationChanged: 1, evacuationOdd: 1}},
		{"null", []platform.KeyedRecord{record("e/n-2", "null")}, false, site.Evacuations{"n-1": {}, "n-2": {}}, map[string]int{evacuationChanged: 1, evacuationOdd: 1}},
		{"an unknown zone", []platform.KeyedRecord{record("e/x", "{}")}, false, site.Evacuations{"n-1": {}, "x": {}}, map[string]int{evacuationChanged: 1, evacuationUnknown: 1}},
		{"the known zone again", []platform.KeyedRecord{record("e/n-1", "{}")}, false, site.Evacuations{"n-1": {}}, map[string]int{}},
		{"no zone", []platform.KeyedRecord{record("e/", "{}")}, false, site.Evacuations{"n-1": {}}, map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacesTest()
			var ended []string
			f := &EvacuationFollower{Gate: p.gate, Logger: p.logger, Prefix: "e/", Count: p.count, OnEnd: func(zones []string) { ended = zones }}
			f.Apply([]platform.KeyedRecord{record("e/n-1", "{}")}, true)
			clear(p.counts)
			f.Apply(c.records, c.isSnapshot)
			assert.Equal(t, c.want, *p.gate.Evacuations.Load())
			assert.Equal(t, c.counts, p.counts)
			assert.Equal(t, !c.want.Contains("n-1"), len(ended) == 1)
		})
	}
}
