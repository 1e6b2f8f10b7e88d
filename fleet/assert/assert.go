// Package assert holds the assertion functions that the tests of all modules share.
package assert

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Equal fails the test with a diff unless two values are equal.
func Equal[T any](tb testing.TB, want, got T, options ...cmp.Option) {
	tb.Helper()
	if diff := cmp.Diff(want, got, options...); diff != "" {
		tb.Errorf("unexpected value (-want +got):\n%s", diff)
	}
}

// NoError fails the test if there is an error.
func NoError(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Errorf("unexpected error: %v", err)
	}
}

// ErrorIs fails the test unless an error is, or wraps, the wanted one.
func ErrorIs(tb testing.TB, got, want error) {
	tb.Helper()
	if !errors.Is(got, want) {
		tb.Errorf("got error %v, want %v", got, want)
	}
}

// Fails fails the test unless there is an error.
func Fails(tb testing.TB, err error) {
	tb.Helper()
	if err == nil {
		tb.Error("got no error")
	}
}

// Must ends the test at once if there is an error: what follows needs what failed.
func Must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatalf("unexpected error: %v", err)
	}
}
