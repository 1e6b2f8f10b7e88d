package gateway

import (
	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/router/places"
)

// NewEvacuations returns a follower of the evacuated availability zones. prefix is the part of a record's key before the zone's name.
func NewEvacuations(board *Board, location Location, prefix string, logger log.Interface) *places.EvacuationFollower {
	return &places.EvacuationFollower{Gate: newGate(board, location), Prefix: prefix, Count: board.Count, Logger: logger}
}
