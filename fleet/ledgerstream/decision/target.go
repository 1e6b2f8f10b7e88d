package decision

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyworks/dragonflyworks/fleet/ledger"
	"github.com/dragonflyworks/dragonflyworks/fleet/peer"
)

// CopyTargetInput is the input of ChooseCopyTargets.
type CopyTargetInput struct {
	// Instance, AvailabilityZone and Region are those of the router that sends the copies.
	Instance         string
	AvailabilityZone string
	Region           string
	Incarnations     []ledger.IncarnationView
	// IsAvoided reports whether an instance recently failed to accept a copy, so that no copy is sent to it.
	IsAvoided func(instance string) bool
	Count     int
}

// ChooseCopyTargets returns up to Count routers to hold copies of the sender's groups. It excludes the sender's
// availability zone, puts one router of another region first if there is one, and prefers the sender's region for
// the others. Routers of equal preference are ordered by rendezvous hashing (D. Thaler, C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998), which spreads the copies over the fleet.
func ChooseCopyTargets(in CopyTargetInput) []peer.Address {
	sameRegion, otherRegions := []ledger.IncarnationView{}, []ledger.IncarnationView{}
	for _, v := range in.Incarnations {
		switch {
		case v.Suspended || v.Join.PeerAddress == "" || v.Join.AvailabilityZone == in.AvailabilityZone:
		case v.Incarnation.Instance == in.Instance || in.IsAvoided(v.Incarnation.Instance):
		case v.Join.Region == in.Region:
			sameRegion = append(sameRegion, v)
		default:
			otherRegions = append(otherRegions, v)
		}
	}
	sortByHash(in.Instance, sameRegion)
	sortByHash(in.Instance, otherRegions)
	first := min(len(otherRegions), 1)
	return addresses(slices.Concat(otherRegions[:first], sameRegion, otherRegions[first:]), in.Count)
}

func sortByHash(instance string, list []ledger.IncarnationView) {
	weight := func(v ledger.IncarnationView) uint64 {
		return xxhash.Sum64String(instance + "\x00" + v.Incarnation.Instance)
	}
	slices.SortFunc(list, func(a, b ledger.IncarnationView) int { return cmp.Compare(weight(a), weight(b)) })
}

// addresses returns the peer addresses of the first count distinct instances in list.
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
