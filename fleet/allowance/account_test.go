package allowance

import (
	"fmt"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// TestOddAccounts guards against an account whose sums overflow, so that more than the prepaid total could be drawn.
func TestOddAccounts(t *testing.T) {
	const highest = "9223372036854775807"
	for name, text := range map[string]string{
		"grants that overflow":   `{"Prepaid":100,"Shares":{"a":{"Granted":` + highest + `},"b":{"Granted":` + highest + `}}}`,
		"grants below zero":      `{"Prepaid":100,"Shares":{"a":{"Granted":-` + highest + `},"b":{"Granted":-` + highest + `}}}`,
		"use that overflows":     `{"Prepaid":100,"Shares":{"a":{"Spent":` + highest + `},"b":{"Spent":` + highest + `}}}`,
		"settled that overflows": `{"Prepaid":` + highest + `,"Settled":-1}`,
		"used that overflows":    `{"Used":` + highest + `,"Shares":{"a":{"Spent":1}}}`,
		"prepaid of 2^63":        `{"Prepaid":9223372036854775808}`,
		"prepaid below zero":     `{"Prepaid":-1}`,
		"rate of 1e999":          `{"Shares":{"a":{"Rate":1e999}}}`,
		"fraction":               `{"Prepaid":1.5}`,
		"list":                   `[]`, "bytes": "\xff", "deep": strings.Repeat("[", 1<<20), "truncated": `{"Prepaid":100`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeAccount([]byte(text))
			assert.Fails(t, err)
		})
	}
	for _, text := range []string{`{}`, `{"Prepaid":` + highest + `}`, `{"Prepaid":100,"Settled":-5,"Shares":{"a":{"Granted":-7}}}`} {
		t.Run(text, func(t *testing.T) {
			_, err := DecodeAccount([]byte(text))
			assert.NoError(t, err)
		})
	}
}

// FuzzDecodeAccount checks that an account that is accepted keeps its sums within the prepaid total.
func FuzzDecodeAccount(f *testing.F) {
	f.Add([]byte(`{"Prepaid":100,"Settled":5,"Used":4,"Shares":{"a":{"Granted":7,"Spent":3,"Rate":1.5,"Lacking":2,"Pledge":{}}}}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		a, err := DecodeAccount(value)
		if err != nil {
			return
		}
		available := float64(a.Prepaid) - float64(a.Settled)
		for _, s := range a.Shares {
			available -= float64(s.Granted)
		}
		assert.Equal(t, fmt.Sprintf("%.6g", available), fmt.Sprintf("%.6g", float64(a.Available())))
	})
}

// TestAccountWithoutKey guards against a team whose account is taken for empty, and its total drawn again, because its
// record lost its key.
func TestAccountWithoutKey(t *testing.T) {
	h := &Holder{settings: Settings{Logger: &log.Logger{Handler: discard.New()}}}
	state := platform.KeyedState{Records: []platform.KeyedRecord{{Key: "a", Value: []byte(`{}`)}, {Value: []byte(`{"Prepaid":100}`)}}}
	assert.Equal(t, 0, len(h.decodeAccounts(state, []*site.Team{{Name: "a"}, {Name: "b"}})))
}
