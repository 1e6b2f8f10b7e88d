package ledger

import (
	"errors"
	"math"
)

// Bounds of a group. A group that exceeds one of them is malformed.
const (
	// MaxGroupBytes is the maximum length, in bytes, of an encoded group and of the payload of a log entry.
	MaxGroupBytes = 1 << 20
	// MaxGroupRecords is the maximum number of records in a group.
	MaxGroupRecords = 4096
	// MaxNameBytes is the maximum length, in bytes, of the name of an instance, an endpoint, a budget, an availability
	// zone or a region, of a router's version and of its peer address.
	MaxNameBytes = 255
	// MaxCrashRequests is the maximum number of requests in a Crash record.
	MaxCrashRequests = 64
)

// Errors for a malformed group.
var (
	ErrGroupTooLong       = errors.New("group exceeds a size limit")
	ErrNameTooLong        = errors.New("name exceeds the maximum length")
	ErrNegativeAmount     = errors.New("amount is negative")
	ErrUnknownShareKind   = errors.New("unknown share kind")
	ErrSequenceOutOfRange = errors.New("first sequence number out of range")
	ErrNilRecord          = errors.New("group contains a nil record")
)

// validate checks that a group and its records keep their bounds.
func (g *Group) validate() error {
	if len(g.Records) > MaxGroupRecords {
		return ErrGroupTooLong
	}
	if len(g.Writer.Instance) > MaxNameBytes {
		return ErrNameTooLong
	}
	if g.First == 0 || g.First > math.MaxUint64-MaxGroupRecords {
		return ErrSequenceOutOfRange
	}
	for _, r := range g.Records {
		if err := validateRecord(r); err != nil {
			return err
		}
	}
	return nil
}

// validateRecord checks the properties of a record that the fold relies on.
func validateRecord(record Record) error {
	switch r := record.(type) {
	case *Join:
		return validateNames(r.AvailabilityZone, r.Region, r.Version, r.PeerAddress)
	case *Prepaid:
		return errors.Join(validateNames(r.Budget), validateAmounts(r.Total, r.Reserve.Share))
	case *Draw:
		return validateShare(r.Budget, r.Kind, r.Wanted, r.Minimum)
	case *Return:
		return validateShare(r.Budget, r.Kind, r.Amount)
	case *Open:
		return validateShare(r.Budget, r.Kind, r.Amount)
	case *Bill:
		return validateAmounts(r.Usage)
	case *Fence:
		return validateShare(r.Target.Instance, r.Kind)
	case *Crash:
		return validateCrash(r)
	case nil:
		return ErrNilRecord
	default:
		return nil
	}
}

func validateCrash(r *Crash) error {
	if len(r.InProgress) > MaxCrashRequests {
		return ErrGroupTooLong
	}
	return validateNames(r.Endpoint)
}

// validateShare checks a record's name, its kind of share and its amounts.
func validateShare(name string, kind ShareKind, amounts ...Tokens) error {
	if len(name) > MaxNameBytes {
		return ErrNameTooLong
	}
	if kind > Reserve {
		return ErrUnknownShareKind
	}
	return validateAmounts(amounts...)
}

func validateNames(names ...string) error {
	for _, n := range names {
		if len(n) > MaxNameBytes {
			return ErrNameTooLong
		}
	}
	return nil
}

func validateAmounts(amounts ...Tokens) error {
	for _, a := range amounts {
		if a < 0 {
			return ErrNegativeAmount
		}
	}
	return nil
}
