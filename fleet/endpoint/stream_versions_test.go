package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

func TestStreamVersions(t *testing.T) {
	start := time.Unix(1, 0)
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{0, true}, {StreamMemory - time.Second, true}, {StreamMemory + time.Second, true}, {2 * StreamMemory, false}, {time.Hour, false}} {
		t.Run(c.age.String(), func(t *testing.T) {
			var v StreamVersions[string]
			v.Record(start, 7, "v1")
			_, ok := v.Get(start.Add(c.age), 7)
			assert.Equal(t, c.want, ok)
			_, ok = v.Get(start.Add(c.age), 8)
			assert.Equal(t, false, ok)
		})
	}
	t.Run("bounded", func(t *testing.T) {
		var v StreamVersions[int]
		for i := range uint64(3 * maxRememberedStreams) {
			v.Record(start, i, 1)
		}
		assert.Equal(t, true, len(v.current)+len(v.previous) <= 2*maxRememberedStreams)
		_, ok := v.Get(start, 3*maxRememberedStreams-1)
		assert.Equal(t, true, ok)
	})
}

// TestOnlyVersion guards against a version that is taken for the one that began a stream although another served lately.
func TestOnlyVersion(t *testing.T) {
	type observation struct {
		at       time.Duration
		versions []string
	}
	for _, c := range []struct {
		name         string
		isComplete   bool
		observations []observation
		want         string
	}{
		{"nothing seen", false, nil, ""},
		{"one version for long", false, []observation{{0, []string{"v1"}}, {2 * StreamMemory, []string{"v1"}}}, "v1"},
		{"one version for a short time", false, []observation{{3 * StreamMemory / 2, []string{"v1"}}, {2 * StreamMemory, []string{"v1"}}}, ""},
		{"two versions", false, []observation{{0, []string{"v1"}}, {2 * StreamMemory, []string{"v1", "v2"}}}, ""},
		{"the other one has just gone", false, []observation{{0, []string{"v1", "v2"}}, {2 * StreamMemory, []string{"v2"}}}, ""},
		{"the other one has gone for long", false, []observation{{0, []string{"v1", "v2"}}, {StreamMemory / 2, []string{"v2"}}}, "v2"},
		{"a version that came back", false, []observation{{0, []string{"v1"}}, {time.Second, []string{"v2"}}, {2 * StreamMemory, []string{"v1"}}}, ""},
		{"first start, one version", true, []observation{{2*StreamMemory - time.Second, []string{"v1"}}}, "v1"},
		{"first start, two versions", true, []observation{{2*StreamMemory - time.Second, []string{"v1"}}, {2 * StreamMemory, []string{"v2"}}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Unix(1, 0)
			h := VersionHistory{IsComplete: c.isComplete}
			for _, o := range c.observations {
				h.Observe(start.Add(o.at), o.versions)
			}
			got, ok := h.Only(start.Add(2*StreamMemory), StreamMemory)
			if !ok {
				got = ""
			}
			assert.Equal(t, c.want, got)
		})
	}
}

// TestKeepersAreSpread guards against streams whose keepers are all the same few routers, and against an order that depends on the order of
// the list.
func TestKeepersAreSpread(t *testing.T) {
	for _, routers := range []int{6, 30, 295} {
		var names, reversed []string
		for i := range routers {
			names = append(names, fmt.Sprint("router-", i))
			reversed = append([]string{names[i]}, reversed...)
		}
		first := make(map[string]int)
		for stream := range uint64(KeeperBuckets) {
			ranked := RankKeepers(KeeperBucket(stream), names)
			assert.Equal(t, ranked, RankKeepers(KeeperBucket(stream), reversed))
			assert.Equal(t, ranked, RankKeepers(KeeperBucket(stream+KeeperBuckets), names))
			first[ranked[0]]++
		}
		assert.Equal(t, true, len(first) >= min(routers, KeeperBuckets)/2)
	}
}
