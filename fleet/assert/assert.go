// Package assert provides the assertions that the tests of all modules use.
package assert

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Equal marks the test as failed and prints a diff unless cmp.Diff finds got equal to want. The test continues.
func Equal[T any](tb testing.TB, want, got T, options ...cmp.Option) {
	tb.Helper()
	if diff := cmp.Diff(want, got, options...); diff != "" {
		tb.Errorf("unexpected value (-want +got):\n%s", diff)
	}
}

// NoError marks the test as failed if err is not nil. The test continues; Must stops it.
func NoError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Errorf("unexpected error: %v", err)
	}
}

// ErrorIs marks the test as failed unless errors.Is(got, want) holds. The test continues.
func ErrorIs(tb testing.TB, got, want error) {
	tb.Helper()
	if !errors.Is(got, want) {
		tb.Errorf("got error %v, want %v", got, want)
	}
}

// Fails marks the test as failed if err is nil, for cases where any error will do. The test continues.
func Fails(tb testing.TB, err error) {
	tb.Helper()
	if err == nil {
		tb.Error("got no error")
	}
}

// Must stops the test if err is not nil, for steps without which the rest of the test can't run.
func Must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatalf("unexpected error: %v", err)
	}
}
