// Package platform is the fleet's view of the services that the platform runs:
// the append-only log and the instance list.
package platform

import (
	"context"
	"errors"
	"fmt"
)

// Names of the streams that the fleet keeps on the log.
const (
	// ConfigurationStream carries the operators' numbered change tickets.
	ConfigurationStream = "configuration"
	// ConfigurationSnapshotStream carries snapshots of the folded configuration.
	ConfigurationSnapshotStream = "configuration-snapshots"
	// OrdersStream carries the claims of endpoints and the orders to them.
	OrdersStream = "orders"
	// OrdersSnapshotStream carries snapshots of the folded orders stream.
	OrdersSnapshotStream = "orders-snapshots"
)

// LedgerStream returns the name of the stream of a ledger partition.
func LedgerStream(partition int) string { return fmt.Sprintf("ledger-%d", partition) }

// LedgerSnapshotStream returns the name of the snapshot stream of a ledger partition.
func LedgerSnapshotStream(partition int) string {
	return fmt.Sprintf("ledger-%d-snapshots", partition)
}

// Offset is the position of an entry in its stream. The first entry has offset 0.
type Offset uint64

// Entry is one appended payload with its position.
type Entry struct {
	Offset  Offset
	Payload []byte
}

// Log is the platform's append-only log. Nothing is assumed of it beyond these two calls.
type Log interface {
	// Append adds a payload to a stream and returns its offset. An error leaves it
	// open whether the payload was appended.
	Append(ctx context.Context, stream string, payload []byte) (Offset, error)
	// Read returns up to limit entries from an offset on, in order and without gaps; none at the
	// stream's end. It fails with a *TruncatedError below the first offset that is kept.
	Read(ctx context.Context, stream string, from Offset, limit int) ([]Entry, error)
}

// TruncatedError reports a read below the offsets that the log still keeps.
type TruncatedError struct {
	Stream string
	// First is the lowest offset that can be read.
	First Offset
}

// Error names the stream and its first readable offset.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream %s starts at offset %d", e.Stream, e.First)
}

// ErrUnavailable reports that a service of the platform gave no usable answer.
var ErrUnavailable = errors.New("platform service unavailable")

// InstanceState is what the instance list says of an instance.
type InstanceState string

// The states of the instance list.
const (
	Live    InstanceState = "Live"
	Leaving InstanceState = "Leaving"
)

// Instance is a line of the instance list.
type Instance struct {
	Name string
	// Address is an IP address with a port.
	Address          string
	AvailabilityZone string
	Region           string
	State            InstanceState
}

// Listing is the instance list as of a version; it lags behind reality.
type Listing struct {
	// Version grows with each change, so that an older listing can be told from a newer one.
	Version   uint64
	Instances []Instance
}

// InstanceList is the platform's list of instances.
type InstanceList interface {
	// Instances returns the newest listing that the service gives.
	Instances(ctx context.Context) (Listing, error)
}
