package ledger

import (
	"errors"
	"math"
)

// Bounds of a group; groups beyond them are malformed.
const (
	// MaxGroupBytes is the longest encoded group.
	MaxGroupBytes = 1 << 20
	// MaxGroupRecords is the largest number of records of a group.
	MaxGroupRecords = 4096
	// MaxNameBytes is the longest name of an instance, an endpoint, a budget, an availability zone or a region,
	// and the longest version.
	MaxNameBytes = 255
	// MaxCrashRequests is the largest number of requests of a Crash.
	MaxCrashRequests = 64
)

// The faults of a malformed group.
var (
	ErrGroupTooLong       = errors.New("group is too long")
	ErrNameTooLong        = errors.New("name is too long")
	ErrNegativeAmount     = errors.New("amount is negative")
	ErrUnknownShareKind   = errors.New("unknown kind of share")
	ErrSequenceOutOfRange = errors.New("sequence number out of range")
	ErrNilRecord          = errors.New("record is missing")
)

// validate checks the bounds of a group and its records.
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

// validateRecord checks what the fold takes for granted of a record.
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

// validateShare checks the fields of a record that touches a share.
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
