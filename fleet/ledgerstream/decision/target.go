package decision

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// CopyTargetInput is what the choice of the routers that hold copies depends on.
type CopyTargetInput struct {
	// Instance, AvailabilityZone and Region are the sender's.
	Instance         string
	AvailabilityZone string
	Region           string
	Incarnations     []ledger.IncarnationView
	// Avoided says which instances failed lately.
	Avoided func(instance string) bool
	Count   int
}

// ChooseCopyTargets returns the routers that hold copies of a router's groups: none in the sender's
// availability zone, the first in another region if one can be reached, the next ones near the sender.
// Among equals the order is that of rendezvous hashing (D. Thaler, C. Ravishankar, "Using Name-Based
// Mappings to Increase Hit Rates", 1998), so that the copies spread over the fleet.
func ChooseCopyTargets(in CopyTargetInput) []peer.Address {
	near, far := []ledger.IncarnationView{}, []ledger.IncarnationView{}
	for _, v := range in.Incarnations {
		switch {
		case v.Suspended || v.Join.PeerAddress == "" || v.Join.AvailabilityZone == in.AvailabilityZone:
		case v.Incarnation.Instance == in.Instance || in.Avoided(v.Incarnation.Instance):
		case v.Join.Region == in.Region:
			near = append(near, v)
		default:
			far = append(far, v)
		}
	}
	sortByHash(in.Instance, near)
	sortByHash(in.Instance, far)
	first := min(len(far), 1)
	return addresses(slices.Concat(far[:first], near, far[first:]), in.Count)
}

func sortByHash(instance string, list []ledger.IncarnationView) {
	weight := func(v ledger.IncarnationView) uint64 {
		return xxhash.Sum64String(instance + "\x00" + v.Incarnation.Instance)
	}
	slices.SortFunc(list, func(a, b ledger.IncarnationView) int { return cmp.Compare(weight(a), weight(b)) })
}

// addresses returns the first count routers, each instance once.
func addresses(list []ledger.IncarnationView, count int) []peer.Address {
	targets := []peer.Address{}
	for _, v := range list {
		address := peer.Address{Instance: v.Incarnation.Instance, Address: v.Join.PeerAddress}
		known := slices.ContainsFunc(targets, func(t peer.Address) bool { return t.Instance == address.Instance })
		if !known && len(targets) < count {
			targets = append(targets, address)
		}
	}
	return targets
}
