package capacity

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func TestFit(t *testing.T) {
	approximately := cmpopts.EquateApprox(0, 1e-9)
	for name, row := range map[string]struct {
		Points []point
		Want   line
	}{
		"on a line":  {[]point{{1, 5}, {2, 7}, {4, 11}}, line{Slope: 2, AtZero: 3, R2: 1}},
		"constant":   {[]point{{1, 5}, {2, 5}, {3, 5}}, line{AtZero: 5, R2: 1}},
		"off a line": {[]point{{0, 0}, {1, 2}, {2, 1}}, line{Slope: 0.5, AtZero: 0.5, R2: 0.25}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(row.Want, fit(row.Points), approximately); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestReplace(t *testing.T) {
	got, err := replaceSection("a\n<!-- x:begin -->\nold\n<!-- x:end -->\nb\n", "x", "new\n")
	if diff := cmp.Diff("a\n<!-- x:begin -->\nnew\n<!-- x:end -->\nb\n", got); diff != "" || err != nil {
		t.Error(diff, err)
	}
	if _, err := replaceSection("a\n", "x", "new\n"); !errors.Is(err, errMarkers) {
		t.Errorf("error %v", err)
	}
}

func TestNumber(t *testing.T) {
	got := []string{formatNumber(0), formatNumber(0.01234), formatNumber(1.5), formatNumber(37.84), formatNumber(1234567), formatNumber(-4321)}
	if diff := cmp.Diff([]string{"0", "0.0123", "1.50", "37.8", "1,234,567", "-4,321"}, got); diff != "" {
		t.Error(diff)
	}
}
