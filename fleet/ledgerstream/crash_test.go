package ledgerstream

import (
	"testing"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// TestCrashesReachTheOtherRouters guards against lost, repeated or unlimited crash reports when appends take effect
// twice or lose their answers.
func TestCrashesReachTheOtherRouters(t *testing.T) {
	runWithClients(t, 3, 100, func(c *cluster) {
		t := c.tb
		receivedReports := make([]map[ledger.Incarnation][]string, len(c.members))
		for i, m := range c.members {
			receivedReports[i] = map[ledger.Incarnation][]string{}
			m.SetCrashHandler(func(reporter ledger.Incarnation, crash *ledger.Crash) {
				receivedReports[i][reporter] = append(receivedReports[i][reporter], crash.Endpoint)
			})
		}
		first := c.members[0]
		c.log.set(func() { first.link.lostAnswerRate, first.link.duplicateRate = 0.5, 0.5 })
		report := func(endpoint string) bool {
			return first.ReportCrash(ledger.Crash{Endpoint: endpoint, InProgress: []ledger.Fingerprint{1}})
		}
		assertEqual(t, "a report", true, report("engine-1"))
		time.Sleep(5 * time.Second)
		want := map[ledger.Incarnation][]string{first.Incarnation(): {"engine-1"}}
		assertEqual(t, "own reports", 0, len(receivedReports[0]))
		assertEqual(t, "reports seen by the second", want, receivedReports[1])
		assertEqual(t, "reports seen by the third", want, receivedReports[2])
		accepted := 0
		for range 100 {
			if report("engine-2") {
				accepted++
			}
		}
		assertEqual(t, "reports at once", fleetCrashesPerSecond/len(c.members), accepted)
		time.Sleep(5 * time.Second)
		assertEqual(t, "report after a while", true, report("engine-3"))
	})
}
