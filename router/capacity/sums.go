package capacity

import (
	"math"
	"slices"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/ledgerstream"
	"github.com/dragonflyworks/dragonflyworks/fleet/operator"
	"github.com/dragonflyworks/dragonflyworks/router/controller"
)

// site is a size of the fleet and of what it serves.
type site struct {
	Nodes, Budgets, Teams, Models, Endpoints, Zones, Regions int
	// Requests are those a second.
	Requests float64
}

// The letter's size, and today's with as many requests a node.
//
//nolint:gochecknoglobals // constants that Go can't declare as such
var (
	letter = site{Nodes: 370, Budgets: 530_000, Teams: 9600, Models: 11, Endpoints: 1100, Zones: 14, Regions: 4, Requests: 14_000}
	today  = site{Nodes: 6, Budgets: 10, Teams: 10, Models: 1, Endpoints: 21, Zones: 3, Regions: 3, Requests: 14_000 * 6.0 / 370}
)

// The letter's figures, and what the code sets.
const (
	firstToken     = 0.72
	requestSeconds = firstToken + 4.1e6/14_000*0.076
	replacements   = 160
	daySeconds     = 86_400
	allowance      = ledgerstream.DefaultFleetAppendsPerSec
	folders        = 3
	windowSeconds  = ledger.DefaultIdempotentWindow / allowance
	configurePoll  = 0.25
	megabyte       = 1e6
)

// Limits of a node, from the letter.
const (
	coreLimit  = 3.5
	heapLimit  = 64
	readLimit  = 17_000
	forceLimit = 5
)

// sum is a line of the second table; a limit of zero stands for none.
type sum struct {
	What, Unit, Limit string
	Bound             float64
	Value             func(s site) float64
}

// model works out sums from the slopes.
type model struct{ slope func(name string) float64 }

// stream returns the bytes a second of the ledger's stream, with or without a draw and a return for each request.
func (m model) stream(s site, drawn bool) float64 {
	bytes := m.slope("log bytes: Open") + m.slope("log bytes: Bill")
	if drawn {
		bytes += m.slope("log bytes: Draw") + m.slope("log bytes: Return")
	}
	return s.Requests*bytes + min(allowance, s.Requests)*30
}

// fold returns the part of a core that folds the stream, in percent.
func (m model) fold(s site) float64 {
	return s.Requests * (m.slope("fold: Open") + m.slope("fold: Bill") + m.slope("fold: Draw") + m.slope("fold: Return")) / 1e4
}

// partitions returns how many partitions a folder of one needs to stay within the limit of reads.
func (m model) partitions(s site) float64 { return math.Ceil(m.stream(s, true) / readLimit) }

// part returns the part of the ledger that the busiest node folds once each partition has a few folders.
func (m model) part(s site) float64 {
	return min(1, max(1/m.partitions(s), folders/float64(s.Nodes)))
}

// balances returns the megabytes of the ledger's state without request identifiers; each budget has one share.
func (m model) balances(s site) float64 {
	return (float64(s.Budgets)*(m.slope("heap: budget")+m.slope("heap: share")) + float64(s.Nodes)*m.slope("heap: router") +
		s.Requests*requestSeconds*m.slope("heap: open request")) / megabyte
}

// identifiers returns the megabytes of the idempotent identifiers that a partition with all requests remembers.
func (m model) identifiers(s site) float64 {
	return s.Requests * windowSeconds * m.slope("heap: idempotent identifier") / megabyte
}

// declared returns the megabytes of the configuration.
func (m model) declared(s site) float64 {
	return (float64(s.Budgets)*m.slope("heap: declared budget") + float64(s.Teams)*m.slope("heap: team") + float64(s.Models)*m.slope("heap: route") +
		float64(s.Endpoints)*(m.slope("heap: declared endpoint")+m.slope("heap: endpoint at the router"))) / megabyte
}

// snapshot returns the bytes of a snapshot of the ledger.
func (m model) snapshot(s site) float64 {
	return float64(s.Budgets)*m.slope("ledger snapshot: bytes") + s.Requests*windowSeconds*m.slope("ledger snapshot: bytes of identifiers")
}

// start returns the bytes that a new router reads: two snapshots and the tail behind the ledger's.
func (m model) start(s site) float64 {
	return m.snapshot(s) + float64(s.Budgets)*m.slope("configuration snapshot: bytes") + m.stream(s, true)*interval()
}

func interval() float64 { return ledgerstream.DefaultSnapshotInterval.Seconds() }

// groupWait returns the seconds between two groups of one of some appenders.
func groupWait(appenders int) float64 { return float64(appenders) / allowance }

// force returns the longest time in seconds until a top-up is in force at every router that is up to date.
func (m model) force(s site, appenders int) float64 {
	return configurePoll + float64(s.Budgets)*(m.slope("ticket: apply one top-up")+m.slope("ticket: declare the totals to the ledger's client"))/1e6 +
		ledgerstream.DefaultPrepaidJitter.Seconds() + ledgerstream.DefaultTickInterval.Seconds() + groupWait(appenders) + ledgerstream.DefaultPollInterval.Seconds()
}

// Units and limits that several sums share.
const (
	answerLimit    = "0.72 s to the first token"
	bytesASecond   = "B/s"
	partOfCore     = "% of a core"
	memoryLimit    = "64 MB"
	processorLimit = "3.5%"
)

// sums returns every sum of the page in its order.
func (m model) sums() []sum {
	return slices.Concat(
		m.appendSums(),
		m.readSums(),
		m.processorSums(),
		m.memorySums(),
		m.configurationSums(),
		m.snapshotSums(),
		m.zoneSums(),
		m.startSums(),
		m.busiestSums(),
	)
}

// appendSums returns the sums of what the log takes.
func (m model) appendSums() []sum {
	return []sum{
		{"Appends: heartbeats of an idle fleet", "1/s", "240 of the fleet", allowance, func(s site) float64 {
			return float64(s.Nodes) / ledgerstream.DefaultHeartbeatInterval.Seconds()
		}},
		{"Appends: longest wait of a record for its group, every router appends", "s", answerLimit, firstToken, func(s site) float64 { return groupWait(s.Nodes) }},
		{"— one appender a zone, one partition (not built)", "s", answerLimit, firstToken, func(s site) float64 { return groupWait(s.Zones) }},
		{"— one appender a zone and partition, with the partitions below (not built)", "s", answerLimit, firstToken, func(s site) float64 {
			return groupWait(s.Zones) * m.partitions(s)
		}},
		{"— one appender a partition, with the partitions below (not built)", "s", answerLimit, firstToken, func(s site) float64 { return m.partitions(s) / allowance }},
		{"Appends: bytes of an append at the allowance", "B", "65,536 of a group", ledgerstream.DefaultGroupBytes, func(s site) float64 { return m.stream(s, true) / allowance }},
	}
}

// readSums returns the sums of what the nodes read.
func (m model) readSums() []sum {
	return []sum{
		{"Bytes read by each node: open and bill", bytesASecond, "17 KB/s", readLimit, func(s site) float64 { return m.stream(s, false) }},
		{"Bytes read by each node: with a draw and a return a request", bytesASecond, "17 KB/s", readLimit, func(s site) float64 { return m.stream(s, true) }},
		{"— partitions at which a folder of one reads 17 KB/s (built: one partition)", "partitions", "", 0, m.partitions},
		{"— by a node, each partition folded by three nodes (not built)", bytesASecond, "17 KB/s", readLimit, func(s site) float64 { return m.stream(s, true) * m.part(s) }},
		{"Log: bytes read by all nodes", bytesASecond, "", 0, func(s site) float64 { return m.stream(s, true) * float64(s.Nodes) }},
	}
}

// processorSums returns the sums of processor time.
func (m model) processorSums() []sum {
	perNode := func(s site) float64 { return s.Requests / float64(s.Nodes) }
	return []sum{
		{"Processor: fold of every record", partOfCore, processorLimit, coreLimit, m.fold},
		{"— each partition folded by three nodes (not built)", partOfCore, processorLimit, coreLimit, func(s site) float64 { return m.fold(s) * m.part(s) }},
		{"Processor: own requests and appends of a node", partOfCore, processorLimit, coreLimit, func(s site) float64 {
			return (perNode(s)*m.slope("client: Reserve and Bill, 64 callers") + allowance/float64(s.Nodes)*m.slope("client: one append more for 3,072 requests")) / 1e4
		}},
	}
}

// memorySums returns the sums of memory.
func (m model) memorySums() []sum {
	return []sum{
		{"Memory: ledger state of a node that folds everything", "MB", memoryLimit, heapLimit, func(s site) float64 { return m.balances(s) + m.identifiers(s) }},
		{"— of it idempotent identifiers", "MB", memoryLimit, heapLimit, m.identifiers},
		{"— of it open requests", "MB", memoryLimit, heapLimit, func(s site) float64 { return s.Requests * requestSeconds * m.slope("heap: open request") / megabyte }},
		{"— of it budgets, a share each", "MB", memoryLimit, heapLimit, func(s site) float64 {
			return float64(s.Budgets) * (m.slope("heap: budget") + m.slope("heap: share")) / megabyte
		}},
		{"— each partition folded by three nodes, windows in offsets as set today (not built)", "MB", memoryLimit, heapLimit, func(s site) float64 {
			return m.balances(s)*m.part(s) + m.identifiers(s)*m.part(s)*m.partitions(s)
		}},
		{"— the same, windows divided by the partitions (not built)", "MB", memoryLimit, heapLimit, func(s site) float64 { return (m.balances(s) + m.identifiers(s)) * m.part(s) }},
		{"Memory: non-idempotent identifiers, for each percent of the requests", "MB", memoryLimit, heapLimit, func(s site) float64 {
			return s.Requests / 100 * ledger.DefaultNonIdempotentWindow / allowance * m.slope("heap: non-idempotent identifier") / megabyte
		}},
		{"Memory: configuration and endpoints", "MB", memoryLimit, heapLimit, m.declared},
		{"Memory: relayed copies at their bound", "MB", memoryLimit, heapLimit, func(site) float64 { return ledgerstream.DefaultCopyBytes / megabyte }},
	}
}

// configurationSums returns the sums of the configuration.
func (m model) configurationSums() []sum {
	return []sum{
		{"Configuration: longest time until a top-up is in force everywhere", "s", "5 s", forceLimit, func(s site) float64 { return m.force(s, s.Nodes) }},
		{"— of it processor time to apply the ticket and declare the totals", "s", "5 s", forceLimit, func(s site) float64 {
			return float64(s.Budgets) * (m.slope("ticket: apply one top-up") + m.slope("ticket: declare the totals to the ledger's client")) / 1e6
		}},
		{"— with one appender a zone, one partition (not built)", "s", "5 s", forceLimit, func(s site) float64 { return m.force(s, s.Zones) }},
		{"Configuration: first copy of all totals into the ledger by one router", "s", "", 0, func(s site) float64 {
			return float64(s.Budgets) / ledgerstream.DefaultPrepaidCopiesPerTick * ledgerstream.DefaultTickInterval.Seconds()
		}},
		{"Configuration: snapshots of the whole fleet", bytesASecond, "", 0, func(s site) float64 {
			return float64(s.Budgets) * m.slope("configuration snapshot: bytes") / controller.SnapshotInterval.Seconds()
		}},
		{"Configuration: their appends, beside the allowance", "1/s", "240 of the fleet", allowance, func(s site) float64 {
			return math.Ceil(float64(s.Budgets)*m.slope("configuration snapshot: bytes")/operator.DefaultChunkBytes) / controller.SnapshotInterval.Seconds()
		}},
	}
}

// snapshotSums returns the sums of snapshots.
func (m model) snapshotSums() []sum {
	return []sum{
		{"Snapshot of the ledger: bytes", "B", "", 0, m.snapshot},
		{"Snapshot of the ledger: time to append it, an entry a turn", "s", "600 s between two", interval(), func(s site) float64 {
			return m.snapshot(s) / ledger.DefaultChunkBytes * groupWait(s.Nodes)
		}},
		{"Snapshot of the ledger: encoding of the budgets, beside the requests", "s", "", 0, func(s site) float64 {
			return float64(s.Budgets) * m.slope("ledger snapshot: encode") / 1e6
		}},
	}
}

// zoneSums returns the sums of a zone that is lost.
func (m model) zoneSums() []sum {
	return []sum{
		{"Zone lost: routers that are fenced", "routers", "", 0, func(s site) float64 { return float64(s.Nodes) / float64(s.Zones) }},
		{"Zone lost: open requests settled at their reservation", "requests", "", 0, func(s site) float64 { return s.Requests * requestSeconds / float64(s.Zones) }},
		{"Zone lost: longest time until its shares are back", "s", "", 0, func(s site) float64 {
			return (ledgerstream.DefaultLease + ledgerstream.DefaultLeaseMargin + ledgerstream.DefaultHeartbeatInterval).Seconds() + groupWait(s.Nodes)
		}},
		{"Zone lost: fences, if every other router sends one for each", "B", "", 0, func(s site) float64 {
			lost := float64(s.Nodes) / float64(s.Zones)
			return lost * (float64(s.Nodes) - lost) * m.slope("log bytes: Fence")
		}},
	}
}

// startSums returns the sums of cold starts.
func (m model) startSums() []sum {
	return []sum{
		{"Cold start: bytes that a router reads", "B", "", 0, m.start},
		{"— by the routers of a region", "B", "", 0, func(s site) float64 { return m.start(s) * float64(s.Nodes) / float64(s.Regions) }},
		{"— of it the tail behind the ledger's snapshot", "B", "", 0, func(s site) float64 { return m.stream(s, true) * interval() }},
		{"— by a router that folds one partition, windows divided (not built)", "B", "", 0, func(s site) float64 {
			return (m.snapshot(s)+m.stream(s, true)*interval())*m.part(s) + float64(s.Budgets)*m.slope("configuration snapshot: bytes")
		}},
		{"Cold start: processor time of a router", "s", "", 0, func(s site) float64 {
			return float64(s.Budgets)*(m.slope("ledger snapshot: load")+m.slope("configuration snapshot: load"))/1e6 + m.fold(s)/100*interval()
		}},
	}
}

// busiestSums returns the sums of the busiest budget and replacements.
func (m model) busiestSums() []sum {
	return []sum{
		{"Busiest budget: shares, one for each router", "B", "", 0, func(s site) float64 { return float64(s.Nodes) * m.slope("heap: share") }},
		{"Busiest budget: time to look at it for each request", "µs", "", 0, func(s site) float64 { return float64(s.Nodes) * m.slope("look at a budget, by holders") }},
		{"Busiest budget: refused draw, returns and second draw, every router appends", "s", "1 s of a request's wait", ledgerstream.DefaultDrawWait.Seconds(), func(s site) float64 { return 3 * groupWait(s.Nodes) }},
		{"— one appender a zone, one partition (not built)", "s", "1 s of a request's wait", ledgerstream.DefaultDrawWait.Seconds(), func(s site) float64 { return 3 * groupWait(s.Zones) }},
		{"Replacements, 160 a day for 370 nodes: bytes read for cold starts, on average", bytesASecond, "", 0, func(s site) float64 {
			return m.start(s) * replacements / float64(letter.Nodes) * float64(s.Nodes) / daySeconds
		}},
		{"— names of ended instances after a year, if none returns", "MB", memoryLimit, heapLimit, func(s site) float64 {
			return 365 * replacements / float64(letter.Nodes) * float64(s.Nodes) * m.slope("heap: ended instance") / megabyte
		}},
	}
}

// role is what a role takes at a size; zero stands for nothing of the kind.
type role struct {
	Name, Message        string
	Messages, Core, Heap func(s site) float64
}

func (m model) roles() []role {
	none := func(site) float64 { return 0 }
	perNode := func(s site) float64 { return m.stream(s, true) / float64(s.Nodes) }
	own := func(s site) float64 {
		appends := allowance / float64(s.Nodes)
		return (s.Requests/float64(s.Nodes)*m.slope("client: Reserve and Bill, 64 callers") + appends*m.slope("client: one append more for 3,072 requests")) / 1e4
	}
	state := func(s site) float64 { return m.balances(s) + m.identifiers(s) }
	return []role{
		{"Entry router, its own requests", "B/s appended", perNode, own, func(s site) float64 {
			return m.declared(s) + s.Requests/float64(s.Nodes)*requestSeconds*m.slope("heap: open request")/megabyte
		}},
		{"Folder: every router folds everything (built)", "B/s read", func(s site) float64 { return m.stream(s, true) }, m.fold, state},
		{"Folder of one partition, three a partition, windows divided (not built)", "B/s read", func(s site) float64 { return m.stream(s, true) * m.part(s) },
			func(s site) float64 { return m.fold(s) * m.part(s) }, func(s site) float64 { return state(s) * m.part(s) }},
		{"Snapshot writer of the ledger, one at a time", "B/s appended", func(s site) float64 { return m.snapshot(s) / interval() },
			func(s site) float64 {
				return float64(s.Budgets) * m.slope("ledger snapshot: encode") / 1e4 / interval()
			},
			func(s site) float64 { return m.snapshot(s) / megabyte }},
		{"Snapshot writer of the configuration, one at a time", "B/s appended",
			func(s site) float64 {
				return float64(s.Budgets) * m.slope("configuration snapshot: bytes") / interval()
			},
			func(s site) float64 {
				return float64(s.Budgets) * m.slope("configuration snapshot: encode") / 1e4 / interval()
			},
			func(s site) float64 { return float64(s.Budgets) * m.slope("configuration snapshot: bytes") / megabyte }},
		{"Relay holder while the log is away, copies of two routers", "B/s taken", func(s site) float64 { return 2 * perNode(s) }, none,
			func(site) float64 { return ledgerstream.DefaultCopyBytes / megabyte }},
		{"Log", "B/s read from it", func(s site) float64 { return m.stream(s, true) * float64(s.Nodes) }, none, none},
		{"dragonflyctl, one call", "B read", m.start, none, func(s site) float64 { return state(s) + m.declared(s) }},
	}
}
