package version

import (
	"runtime/debug"
	"testing"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

// TestBuildOf guards against a run of which nobody can tell which code it ran.
func TestBuildOf(t *testing.T) {
	recorded := &debug.BuildInfo{Main: debug.Module{Version: "(devel)"}, Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "4755527d1853b4d27f60657dd6970cb73003a21e"}, {Key: "vcs.modified", Value: "true"},
	}}
	for _, c := range []struct {
		name, release, source string
		info                  *debug.BuildInfo
		want                  Build
		text                  string
		number                int64
	}{
		{"nothing recorded", "", "", nil, Build{Version: "devel", Revision: "unknown"}, "devel (revision unknown)", 0},
		{"release", "1.2.0", "", nil, Build{Version: "1.2.0", Revision: "unknown"}, "1.2.0 (revision unknown)", 0},
		{"linker", "", "c8028f6d1853b4d27f60", recorded, Build{Version: "(devel)", Revision: "c8028f6d1853b4d27f60"}, "(devel) (revision c8028f6d1853b4d27f60)", 0xc8028f6d1853b},
		{"linker, changed tree", "", "c8028f6-modified", nil, Build{"devel", "c8028f6", true}, "devel (revision c8028f6, modified)", 0xc8028f6},
		{"toolchain", "", "", recorded, Build{"(devel)", "4755527d1853b4d27f60657dd6970cb73003a21e", true}, "(devel) (revision 4755527d1853b4d27f60657dd6970cb73003a21e, modified)", 0x4755527d1853b},
		{"outside a checkout", "", "sources-00ab", nil, Build{Version: "devel", Revision: "sources-00ab"}, "devel (revision sources-00ab)", 0xab},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := buildOf(c.release, c.source, c.info)
			assert.Equal(t, c.want, b)
			assert.Equal(t, c.text, b.String())
			assert.Equal(t, log.Fields{"Version": c.want.Version, "Revision": c.want.Revision, "Modified": c.want.IsModified}, b.Fields())
			registry := metrics.NewRegistry()
			b.Register(registry)
			assert.Equal(t, c.number, metrics.GetOrRegisterGauge(revisionGauge, registry).Value())
			assert.Equal(t, c.want.IsModified, metrics.GetOrRegisterGauge(modifiedGauge, registry).Value() == 1)
		})
	}
}
