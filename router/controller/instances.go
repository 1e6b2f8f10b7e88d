package controller

import (
	"context"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/router/blackboard"
)

// instancePollInterval is the time between two reads of the instance list: an endpoint that is listed as leaving
// has to be known within 2 s.
const instancePollInterval = 500 * time.Millisecond

// Instances follows the platform's instance list.
type Instances struct {
	board *blackboard.Board
	list  platform.InstanceList
}

// NewInstances returns a controller that has read nothing.
func NewInstances(board *blackboard.Board, list platform.InstanceList) *Instances {
	return &Instances{board: board, list: list}
}

// Run follows the list until ctx ends.
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

// step reads the list once. A listing that is older than the one on the blackboard is ignored.
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
