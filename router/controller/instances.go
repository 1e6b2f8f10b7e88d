package controller

import (
	"context"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// instancePollInterval is the delay between two reads of the instance list. The router has to learn within 2 s that an
// endpoint is listed as leaving.
const instancePollInterval = 500 * time.Millisecond

// Instances polls the platform's instance list and publishes it on the blackboard.
type Instances struct {
	board *blackboard.Board
	list  platform.InstanceList
}

// NewInstances returns a controller that has not read the instance list yet.
func NewInstances(board *blackboard.Board, list platform.InstanceList) *Instances {
	return &Instances{board: board, list: list}
}

// Run polls the instance list until ctx ends. Its error is always nil.
func (i *Instances) Run(ctx context.Context) error {
	for {
		i.step(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(instancePollInterval):
		}
	}
}

// step reads the instance list once. It ignores a listing that is older than the listing on the blackboard.
func (i *Instances) step(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	listing, err := i.list.Instances(bounded)
	if err != nil {
		i.board.Count(instancesReadFailed)
		return
	}
	if newest := i.board.Listing.Load(); newest != nil && listing.Version < newest.Version {
		i.board.Count(instancesListingOlder)
		return
	}
	i.board.Listing.Store(&listing)
}
