package capacity

import (
	"math"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
)

// fleet describes the size of a router fleet and its load.
type fleet struct {
	Nodes, Budgets, Teams, Models, Endpoints, Zones, Regions int
	// Requests is the number of requests per second.
	Requests float64
}

// Sizes for the columns "Letter" and "Today" of docs/CAPACITY.md. requiredSize is the size that the operators require in their
// letter, currentSize that of the present fleet, with the same number of requests per node.
//
//nolint:gochecknoglobals // constants that Go can't declare as such
var (
	requiredSize = fleet{Nodes: 370, Budgets: 530_000, Teams: 9600, Models: 11, Endpoints: 1100, Zones: 14, Regions: 4, Requests: 14_000}
	currentSize  = fleet{Nodes: 6, Budgets: 10, Teams: 10, Models: 1, Endpoints: 21, Zones: 3, Regions: 3, Requests: 14_000 * 6.0 / 370}
)

// Further figures of the operators' letter, and values derived from defaults in the code.
const (
	// firstTokenSeconds is the time from a request to the first token of its answer.
	firstTokenSeconds = 0.72
	// requestSeconds is the mean duration of a request: the time to the first token, and 0.076 s for each token of the answer. The
	// mean answer is the fleet's 4.1 million tokens per second divided by its 14,000 requests per second.
	requestSeconds = firstTokenSeconds + 4.1e6/14_000*0.076
	// replacementsPerDay is the number of instances that are replaced per day in a fleet of requiredSize.
	replacementsPerDay = 160
	secondsPerDay      = 86_400
	// appendsPerSecond is the rate of appends to the log that the whole fleet may use.
	appendsPerSecond = ledgerstream.DefaultFleetAppendsPerSecond
	// foldersPerPartition is the number of nodes that fold each partition in the design with several partitions, which is not built.
	foldersPerPartition = 3
	// idempotentWindowSeconds is the time for which the identifier of an idempotent request is remembered at the full append rate.
	idempotentWindowSeconds = ledger.DefaultIdempotentWindow / appendsPerSecond
	// configurationPollSeconds is the interval at which a router polls the configuration stream.
	configurationPollSeconds = 0.25
	megabyte                 = 1e6
)

// Limits in the operators' letter: the CPU time in percent of a core, the heap and the bytes read from the log per second are those
// of a node, topUpLimitSeconds is the maximum time until a top-up takes effect at every router.
const (
	coreLimitPercent  = 3.5
	heapLimitMB       = 64
	readLimitBytes    = 17_000
	topUpLimitSeconds = 5
)

// estimate is a row of the table "sums" of the page. Bound is the limit as a number, or zero if there is no limit.
type estimate struct {
	What, Unit, Limit string
	Bound             float64
	Value             func(s fleet) float64
}

// model computes the estimates from the measured slopes.
type model struct{ slope func(name string) float64 }

// logBytes returns the bytes per second that are appended to the ledger's stream, with or without one draw and one return per
// request. Each append adds 30 bytes for the group that holds the records.
func (m model) logBytes(s fleet, withDraws bool) float64 {
	bytes := m.slope("log bytes: Open") + m.slope("log bytes: Bill")
	if withDraws {
		bytes += m.slope("log bytes: Draw") + m.slope("log bytes: Return")
	}
	return s.Requests*bytes + min(appendsPerSecond, s.Requests)*30
}

// foldCPU returns the CPU time for folding the whole stream, in percent of a core.
func (m model) foldCPU(s fleet) float64 {
	return s.Requests * (m.slope("fold: Open") + m.slope("fold: Bill") + m.slope("fold: Draw") + m.slope("fold: Return")) / 1e4
}

// partitions returns the number of partitions at which a node that folds a single one stays within the read limit.
func (m model) partitions(s fleet) float64 { return math.Ceil(m.logBytes(s, true) / readLimitBytes) }

// folded returns the fraction of the ledger that the busiest node folds if each partition is folded by foldersPerPartition
// nodes.
func (m model) folded(s fleet) float64 {
	return min(1, max(1/m.partitions(s), foldersPerPartition/float64(s.Nodes)))
}

// balanceMB returns the size of the ledger's state in megabytes without remembered request identifiers, given one share per
// budget.
func (m model) balanceMB(s fleet) float64 {
	return (float64(s.Budgets)*(m.slope("heap: budget")+m.slope("heap: share")) + float64(s.Nodes)*m.slope("heap: router") +
		s.Requests*requestSeconds*m.slope("heap: open request")) / megabyte
}

// identifierMB returns the size in megabytes of the identifiers of idempotent requests that a single partition remembers if it
// receives all requests.
func (m model) identifierMB(s fleet) float64 {
	return s.Requests * idempotentWindowSeconds * m.slope("heap: idempotent identifier") / megabyte
}

// configurationMB returns the size in megabytes of the configuration and of the router's state for the declared endpoints.
func (m model) configurationMB(s fleet) float64 {
	return (float64(s.Budgets)*m.slope("heap: declared budget") + float64(s.Teams)*m.slope("heap: team") + float64(s.Models)*m.slope("heap: route") +
		float64(s.Endpoints)*(m.slope("heap: declared endpoint")+m.slope("heap: endpoint at the router"))) / megabyte
}

// snapshotBytes returns the size of a ledger snapshot in bytes.
func (m model) snapshotBytes(s fleet) float64 {
	return float64(s.Budgets)*m.slope("ledger snapshot: bytes") + s.Requests*idempotentWindowSeconds*m.slope("ledger snapshot: bytes of identifiers")
}

// coldStartBytes returns the maximum number of bytes that a new router reads: the snapshots of the ledger and of the
// configuration, and the ledger's entries of a whole snapshot interval.
func (m model) coldStartBytes(s fleet) float64 {
	return m.snapshotBytes(s) + float64(s.Budgets)*m.slope("configuration snapshot: bytes") + m.logBytes(s, true)*snapshotInterval()
}

// snapshotInterval returns the time between two ledger snapshots in seconds.
func snapshotInterval() float64 { return ledgerstream.DefaultSnapshotInterval.Seconds() }

// groupWait returns the seconds between two appends of one appender if all appenders use the fleet's append rate in turn.
func groupWait(appenders int) float64 { return float64(appenders) / appendsPerSecond }

// topUpSeconds returns the maximum time in seconds until a top-up takes effect at every router that follows the log without
// lag.
func (m model) topUpSeconds(s fleet, appenders int) float64 {
	return configurationPollSeconds + float64(s.Budgets)*(m.slope("ticket: apply one top-up")+m.slope("ticket: declare the totals to the ledger client"))/1e6 +
		ledgerstream.DefaultPrepaidJitter.Seconds() + ledgerstream.DefaultTickInterval.Seconds() + groupWait(appenders) + ledgerstream.DefaultPollInterval.Seconds()
}

// Units and limits that several estimates use.
const (
	answerTimeLimit = "0.72 s to the first token"
	bytesPerSecond  = "B/s"
	percentOfCore   = "% of a core"
	memoryLimit     = "64 MB"
	processorLimit  = "3.5%"
)

// estimates returns all estimates in the order of the page.
func (m model) estimates() []estimate {
	return slices.Concat(
		m.appendEstimates(),
		m.readEstimates(),
		m.processorEstimates(),
		m.memoryEstimates(),
		m.configurationEstimates(),
		m.snapshotEstimates(),
		m.zoneLossEstimates(),
		m.coldStartEstimates(),
		m.busiestBudgetEstimates(),
	)
}

// appendEstimates returns the estimates of appends to the log.
func (m model) appendEstimates() []estimate {
	return []estimate{
		{"Appends: heartbeats of an idle fleet", "1/s", "240 of the fleet", appendsPerSecond, func(s fleet) float64 {
			return float64(s.Nodes) / ledgerstream.DefaultHeartbeatInterval.Seconds()
		}},
		{"Appends: maximum wait of a record for its group, every router appends", "s", answerTimeLimit, firstTokenSeconds, func(s fleet) float64 { return groupWait(s.Nodes) }},
		{"— one appender per availability zone, one partition (not built)", "s", answerTimeLimit, firstTokenSeconds, func(s fleet) float64 { return groupWait(s.Zones) }},
		{"— one appender per availability zone and partition, with the partitions below (not built)", "s", answerTimeLimit, firstTokenSeconds, func(s fleet) float64 {
			return groupWait(s.Zones) * m.partitions(s)
		}},
		{"— one appender per partition, with the partitions below (not built)", "s", answerTimeLimit, firstTokenSeconds, func(s fleet) float64 { return m.partitions(s) / appendsPerSecond }},
		{"Appends: bytes per append at the allowed rate", "B", "65,536 of a group", ledgerstream.DefaultGroupBytes, func(s fleet) float64 { return m.logBytes(s, true) / appendsPerSecond }},
	}
}

// readEstimates returns the estimates of reads from the log.
func (m model) readEstimates() []estimate {
	return []estimate{
		{"Bytes read by each node: open and bill", bytesPerSecond, "17 KB/s", readLimitBytes, func(s fleet) float64 { return m.logBytes(s, false) }},
		{"Bytes read by each node: with one draw and one return per request", bytesPerSecond, "17 KB/s", readLimitBytes, func(s fleet) float64 { return m.logBytes(s, true) }},
		{"— number of partitions at which the folder of one partition reads 17 KB/s (built: one partition)", "partitions", "", 0, m.partitions},
		{"— by a node, each partition folded by three nodes (not built)", bytesPerSecond, "17 KB/s", readLimitBytes, func(s fleet) float64 { return m.logBytes(s, true) * m.folded(s) }},
		{"Log: bytes read by all nodes", bytesPerSecond, "", 0, func(s fleet) float64 { return m.logBytes(s, true) * float64(s.Nodes) }},
	}
}

// processorEstimates returns the estimates of CPU time.
func (m model) processorEstimates() []estimate {
	requestsPerNode := func(s fleet) float64 { return s.Requests / float64(s.Nodes) }
	return []estimate{
		{"Processor: fold of every record", percentOfCore, processorLimit, coreLimitPercent, m.foldCPU},
		{"— each partition folded by three nodes (not built)", percentOfCore, processorLimit, coreLimitPercent, func(s fleet) float64 { return m.foldCPU(s) * m.folded(s) }},
		{"Processor: own requests and appends of a node", percentOfCore, processorLimit, coreLimitPercent, func(s fleet) float64 {
			return (requestsPerNode(s)*m.slope("client: Reserve and Bill, 64 callers") + appendsPerSecond/float64(s.Nodes)*m.slope("client: one more append for 3,072 requests")) / 1e4
		}},
	}
}

// memoryEstimates returns the estimates of memory.
func (m model) memoryEstimates() []estimate {
	return []estimate{
		{"Memory: ledger state of a node that folds all partitions", "MB", memoryLimit, heapLimitMB, func(s fleet) float64 { return m.balanceMB(s) + m.identifierMB(s) }},
		{"— of which idempotent identifiers", "MB", memoryLimit, heapLimitMB, m.identifierMB},
		{"— of which open requests", "MB", memoryLimit, heapLimitMB, func(s fleet) float64 { return s.Requests * requestSeconds * m.slope("heap: open request") / megabyte }},
		{"— of which budgets, one share each", "MB", memoryLimit, heapLimitMB, func(s fleet) float64 {
			return float64(s.Budgets) * (m.slope("heap: budget") + m.slope("heap: share")) / megabyte
		}},
		{"— each partition folded by three nodes, windows in offsets as configured today (not built)", "MB", memoryLimit, heapLimitMB, func(s fleet) float64 {
			return m.balanceMB(s)*m.folded(s) + m.identifierMB(s)*m.folded(s)*m.partitions(s)
		}},
		{"— the same, windows divided by the partitions (not built)", "MB", memoryLimit, heapLimitMB, func(s fleet) float64 { return (m.balanceMB(s) + m.identifierMB(s)) * m.folded(s) }},
		{"Memory: non-idempotent identifiers, per percent of the requests", "MB", memoryLimit, heapLimitMB, func(s fleet) float64 {
			return s.Requests / 100 * ledger.DefaultNonIdempotentWindow / appendsPerSecond * m.slope("heap: non-idempotent identifier") / megabyte
		}},
		{"Memory: configuration and endpoints", "MB", memoryLimit, heapLimitMB, m.configurationMB},
		{"Memory: relayed copies at their limit", "MB", memoryLimit, heapLimitMB, func(fleet) float64 { return ledgerstream.DefaultCopyBytes / megabyte }},
	}
}

// configurationEstimates returns the estimates of distributing the configuration.
func (m model) configurationEstimates() []estimate {
	return []estimate{
		{"Configuration: maximum time until a top-up is in force at every router", "s", "5 s", topUpLimitSeconds, func(s fleet) float64 { return m.topUpSeconds(s, s.Nodes) }},
		{"— of which processor time to apply the ticket and declare the totals", "s", "5 s", topUpLimitSeconds, func(s fleet) float64 {
			return float64(s.Budgets) * (m.slope("ticket: apply one top-up") + m.slope("ticket: declare the totals to the ledger client")) / 1e6
		}},
		{"— with one appender per availability zone, one partition (not built)", "s", "5 s", topUpLimitSeconds, func(s fleet) float64 { return m.topUpSeconds(s, s.Zones) }},
		{"Configuration: first copy of all totals into the ledger by one router", "s", "", 0, func(s fleet) float64 {
			return float64(s.Budgets) / ledgerstream.DefaultPrepaidCopiesPerTick * ledgerstream.DefaultTickInterval.Seconds()
		}},
		{"Configuration: snapshots of the whole fleet", bytesPerSecond, "", 0, func(s fleet) float64 {
			return float64(s.Budgets) * m.slope("configuration snapshot: bytes") / controller.DefaultSnapshotInterval.Seconds()
		}},
		{"Configuration: appends of these snapshots, in addition to the allowed rate", "1/s", "240 of the fleet", appendsPerSecond, func(s fleet) float64 {
			return math.Ceil(float64(s.Budgets)*m.slope("configuration snapshot: bytes")/operator.DefaultChunkBytes) / controller.DefaultSnapshotInterval.Seconds()
		}},
	}
}

// snapshotEstimates returns the estimates of ledger snapshots.
func (m model) snapshotEstimates() []estimate {
	return []estimate{
		{"Snapshot of the ledger: bytes", "B", "", 0, m.snapshotBytes},
		{"Snapshot of the ledger: time to append it, one entry per turn", "s", "600 s between snapshots", snapshotInterval(), func(s fleet) float64 {
			return m.snapshotBytes(s) / ledger.DefaultChunkBytes * groupWait(s.Nodes)
		}},
		{"Snapshot of the ledger: time to encode the budgets, concurrently with requests", "s", "", 0, func(s fleet) float64 {
			return float64(s.Budgets) * m.slope("ledger snapshot: encode") / 1e6
		}},
	}
}

// zoneLossEstimates returns the estimates of the loss of an availability zone.
func (m model) zoneLossEstimates() []estimate {
	return []estimate{
		{"Availability zone lost: routers that are fenced", "routers", "", 0, func(s fleet) float64 { return float64(s.Nodes) / float64(s.Zones) }},
		{"Availability zone lost: open requests settled at their reservation", "requests", "", 0, func(s fleet) float64 { return s.Requests * requestSeconds / float64(s.Zones) }},
		{"Availability zone lost: maximum time until its shares are returned", "s", "", 0, func(s fleet) float64 {
			return (ledgerstream.DefaultLease + ledgerstream.DefaultLeaseMargin + ledgerstream.DefaultHeartbeatInterval).Seconds() + groupWait(s.Nodes)
		}},
		{"Availability zone lost: bytes of fences, if every other router sends one for each lost router", "B", "", 0, func(s fleet) float64 {
			lost := float64(s.Nodes) / float64(s.Zones)
			return lost * (float64(s.Nodes) - lost) * m.slope("log bytes: Fence")
		}},
	}
}

// coldStartEstimates returns the estimates of cold starts of routers.
func (m model) coldStartEstimates() []estimate {
	return []estimate{
		{"Cold start: bytes that a router reads", "B", "", 0, m.coldStartBytes},
		{"— by the routers of a region", "B", "", 0, func(s fleet) float64 { return m.coldStartBytes(s) * float64(s.Nodes) / float64(s.Regions) }},
		{"— of which entries after the ledger's snapshot", "B", "", 0, func(s fleet) float64 { return m.logBytes(s, true) * snapshotInterval() }},
		{"— by a router that folds one partition, windows divided (not built)", "B", "", 0, func(s fleet) float64 {
			return (m.snapshotBytes(s)+m.logBytes(s, true)*snapshotInterval())*m.folded(s) + float64(s.Budgets)*m.slope("configuration snapshot: bytes")
		}},
		{"Cold start: processor time of a router", "s", "", 0, func(s fleet) float64 {
			return float64(s.Budgets)*(m.slope("ledger snapshot: load")+m.slope("configuration snapshot: load"))/1e6 + m.foldCPU(s)/100*snapshotInterval()
		}},
	}
}

// busiestBudgetEstimates returns the estimates of the most used budget and of instance replacements.
func (m model) busiestBudgetEstimates() []estimate {
	return []estimate{
		{"Busiest budget: memory of its shares, one per router", "B", "", 0, func(s fleet) float64 { return float64(s.Nodes) * m.slope("heap: share") }},
		{"Busiest budget: lookup time per request", "µs", "", 0, func(s fleet) float64 { return float64(s.Nodes) * m.slope("look up a budget, by holders") }},
		{"Busiest budget: refused draw, returns and second draw, every router appends", "s", "1 s wait of a request", ledgerstream.DefaultDrawWait.Seconds(), func(s fleet) float64 { return 3 * groupWait(s.Nodes) }},
		{"— one appender per availability zone, one partition (not built)", "s", "1 s wait of a request", ledgerstream.DefaultDrawWait.Seconds(), func(s fleet) float64 { return 3 * groupWait(s.Zones) }},
		{"Replacements, 160 per day for 370 nodes: average bytes read for cold starts", bytesPerSecond, "", 0, func(s fleet) float64 {
			return m.coldStartBytes(s) * replacementsPerDay / float64(requiredSize.Nodes) * float64(s.Nodes) / secondsPerDay
		}},
		{"— names of ended instances after a year, if none is reused", "MB", memoryLimit, heapLimitMB, func(s fleet) float64 {
			return 365 * replacementsPerDay / float64(requiredSize.Nodes) * float64(s.Nodes) * m.slope("heap: ended instance") / megabyte
		}},
	}
}

// roleEstimate estimates the messages, the CPU time in percent of a core and the heap in megabytes of one role in the fleet, such
// as the folder of the ledger, the log or dragonflyctl. Message is the unit of the messages. Zero means that the role needs none.
type roleEstimate struct {
	Name, Message        string
	Messages, Core, Heap func(s fleet) float64
}

func (m model) roles() []roleEstimate {
	none := func(fleet) float64 { return 0 }
	nodeBytesPerSecond := func(s fleet) float64 { return m.logBytes(s, true) / float64(s.Nodes) }
	ownCPU := func(s fleet) float64 {
		appends := appendsPerSecond / float64(s.Nodes)
		return (s.Requests/float64(s.Nodes)*m.slope("client: Reserve and Bill, 64 callers") + appends*m.slope("client: one more append for 3,072 requests")) / 1e4
	}
	stateMB := func(s fleet) float64 { return m.balanceMB(s) + m.identifierMB(s) }
	return []roleEstimate{
		{"Entry router, its own requests", "B/s appended", nodeBytesPerSecond, ownCPU, func(s fleet) float64 {
			return m.configurationMB(s) + s.Requests/float64(s.Nodes)*requestSeconds*m.slope("heap: open request")/megabyte
		}},
		{"Folder: every router folds all partitions (built)", "B/s read", func(s fleet) float64 { return m.logBytes(s, true) }, m.foldCPU, stateMB},
		{"Folder of one partition, three per partition, windows divided (not built)", "B/s read", func(s fleet) float64 { return m.logBytes(s, true) * m.folded(s) },
			func(s fleet) float64 { return m.foldCPU(s) * m.folded(s) }, func(s fleet) float64 { return stateMB(s) * m.folded(s) }},
		{"Snapshot writer of the ledger, one writer at a time", "B/s appended", func(s fleet) float64 { return m.snapshotBytes(s) / snapshotInterval() },
			func(s fleet) float64 {
				return float64(s.Budgets) * m.slope("ledger snapshot: encode") / 1e4 / snapshotInterval()
			},
			func(s fleet) float64 { return m.snapshotBytes(s) / megabyte }},
		{"Snapshot writer of the configuration, one writer at a time", "B/s appended",
			func(s fleet) float64 {
				return float64(s.Budgets) * m.slope("configuration snapshot: bytes") / snapshotInterval()
			},
			func(s fleet) float64 {
				return float64(s.Budgets) * m.slope("configuration snapshot: encode") / 1e4 / snapshotInterval()
			},
			func(s fleet) float64 { return float64(s.Budgets) * m.slope("configuration snapshot: bytes") / megabyte }},
		{"Relay holder while the log is unreachable, copies of two routers", "B/s received", func(s fleet) float64 { return 2 * nodeBytesPerSecond(s) }, none,
			func(fleet) float64 { return ledgerstream.DefaultCopyBytes / megabyte }},
		{"Log", "B/s read from the log", func(s fleet) float64 { return m.logBytes(s, true) * float64(s.Nodes) }, none, none},
		{"dragonflyctl, one call", "B read", m.coldStartBytes, none, func(s fleet) float64 { return stateMB(s) + m.configurationMB(s) }},
	}
}
