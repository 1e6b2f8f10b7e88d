package gateway

import (
	"time"

	"github.com/apex/log"

	"github.com/dragonflyworks/dragonflyworks/router/places"
)

// NewEvacuations returns a follower of the evacuated availability zones. prefix is the part of a record's key before the zone's name.
func NewEvacuations(board *Board, location Location, prefix string, logger log.Interface) *places.EvacuationFollower {
	return &places.EvacuationFollower{Gate: newGate(board, location), Prefix: prefix, Count: board.Count, Logger: logger}
}

// recordEvacuationEnd takes the endpoints in zones for cold whose evacuation ends.
func (s *Server) recordEvacuationEnd(zones []string) {
	if directory := s.state.Directory.Load(); directory != nil {
		s.targets.cold.RecordEvacuationEnd(time.Now(), directory.InZones(zones))
	}
}
