package ledgerstream

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
)

// Bounds of crash reports.
const (
	// fleetCrashesPerSecond is the maximum number of crash reports per second of all routers together, so that the
	// failure of an availability zone does not flood the log.
	fleetCrashesPerSecond = 12.0
	// fingerprintBytes is the estimated encoded size of a fingerprint in bytes, used to bound the size of a group.
	fingerprintBytes = 9
)

// SetCrashHandler sets the function that receives the crashes reported by other incarnations. It runs under the
// client's lock and must not call the client. SetCrashHandler must be called before Run.
func (c *Client) SetCrashHandler(handle func(reporter ledger.Incarnation, crash *ledger.Crash)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onRemoteCrash = handle
}

// ReportCrash queues a crash report for the other routers. It returns false without queueing the report if this
// router's part of the report limit is used up, if the outbox is full, or if the router is not a joined member of
// the ledger.
func (c *Client) ReportCrash(crash ledger.Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.current
	if o == nil || !o.joined || o.leaving || o.length() >= c.settings.OutboxLimit || !c.allowCrash(time.Now()) {
		return false
	}
	c.count(crashSent, 1)
	c.enqueue(&crash)
	return true
}

// allowCrash reports whether this router may send one more crash report within its part of the fleet's limit.
func (c *Client) allowCrash(now time.Time) bool {
	part := fleetCrashesPerSecond / float64(c.routers)
	c.crashLimiter.SetLimitAt(now, rate.Limit(part))
	c.crashLimiter.SetBurstAt(now, max(1, int(part)))
	return c.crashLimiter.AllowN(now, 1)
}

// onCrashed passes a crash that another incarnation reported to the function set by SetCrashHandler. Reports of this
// process are skipped because it has counted those crashes already.
func (c *Client) onCrashed(e *ledger.Crashed) {
	if c.ownOutbox(e.Incarnation) != nil || c.onRemoteCrash == nil {
		return
	}
	c.count(crashSeen, 1)
	c.onRemoteCrash(e.Incarnation, e.Crash)
}
