// Package platform defines the interfaces of the platform services that the fleet uses: the append-only
// log, the keyed log and the instance list. It has HTTP clients for the append-only log and the instance list.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// Names of the log's streams that the fleet uses.
const (
	// ConfigurationStream holds the operators' numbered change tickets.
	ConfigurationStream = "configuration"
	// ConfigurationSnapshotStream holds snapshots of the configuration that results from the change tickets.
	ConfigurationSnapshotStream = "configuration-snapshots"
	// OrdersStream holds the claims to the right to give orders to endpoints, and the orders.
	OrdersStream = "orders"
	// OrdersSnapshotStream holds snapshots of the state that results from OrdersStream.
	OrdersSnapshotStream = "orders-snapshots"
)

// LedgerStream returns the name of the stream that holds the groups of a ledger partition.
func LedgerStream(partition int) string { return fmt.Sprintf("ledger-%d", partition) }

// LedgerSnapshotStream returns the name of the stream that holds the snapshots of a ledger partition.
func LedgerSnapshotStream(partition int) string {
	return fmt.Sprintf("ledger-%d-snapshots", partition)
}

// Offset is the position of an entry in its stream, counted from 0.
type Offset uint64

// Entry is a payload of a stream with its offset.
type Entry struct {
	Offset  Offset
	Payload []byte
}

// Log is the platform's append-only log. The fleet relies on no guarantee beyond those of these two calls.
type Log interface {
	// Append adds a payload to a stream and returns its offset. After an error the
	// payload may or may not have been appended.
	Append(ctx context.Context, stream string, payload []byte) (Offset, error)
	// Read returns up to limit entries from an offset on, in order and without gaps, and none at the
	// stream's end. It fails with a *TruncatedError if the log no longer retains the entry at the offset.
	Read(ctx context.Context, stream string, from Offset, limit int) ([]Entry, error)
}

// TruncatedError is returned by a read from an offset that the log no longer retains.
type TruncatedError struct {
	Stream string
	// First is the lowest offset that the log retains.
	First Offset
}

// Error returns a message with the stream and its first retained offset.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream %s starts at offset %d", e.Stream, e.First)
}

// ErrUnavailable means that a service of the platform could not be reached or returned no valid response.
var ErrUnavailable = errors.New("platform service unavailable")

// InstanceState is the state of an instance in the instance list.
type InstanceState string

// The states of instances.
const (
	Live    InstanceState = "Live"
	Leaving InstanceState = "Leaving"
)

// Instance is an entry of the instance list.
type Instance struct {
	Name string
	// Address is an IP address with a port.
	Address          string
	AvailabilityZone string
	Region           string
	State            InstanceState
}

// Listing is one version of the instance list. It may be out of date.
type Listing struct {
	// Version increases with each change of the list and orders listings by age.
	Version   uint64
	Instances []Instance
}

// UnmarshalJSON implements json.Unmarshaler. It leaves out instances that can't be decoded, and those without a name or with an
// unknown state, so that an odd one hides no other.
func (l *Listing) UnmarshalJSON(text []byte) error {
	var list struct {
		Version   uint64
		Instances []json.RawMessage
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return err
	}
	*l = Listing{Version: list.Version}
	for _, entry := range list.Instances {
		var instance Instance
		if json.Unmarshal(entry, &instance) != nil || instance.Name == "" || instance.State != Live && instance.State != Leaving {
			continue
		}
		l.Instances = append(l.Instances, instance)
	}
	return nil
}

// InstanceList is the platform's service that lists the instances.
type InstanceList interface {
	// Instances returns the newest listing that the service has.
	Instances(ctx context.Context) (Listing, error)
}
