package operator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
	"github.com/dragonflyworks/dragonflyworks/fleet/platform"
)

// Parts of tickets about places.
const (
	twoZones     = "\nInstanceSets: [{Name: all, Endpoints: [{Name: e-1, Service: s, Kind: Plain, Address: '10.0.0.1:80', AvailabilityZone: a1, Region: a}, {Name: e-2, Service: s, Kind: Plain, Address: '10.0.0.2:80', AvailabilityZone: b1, Region: b}]}]"
	oneZone      = "\nInstanceSets: [{Name: all, Endpoints: [{Name: e-1, Service: s, Kind: Plain, Address: '10.0.0.1:80', AvailabilityZone: a1, Region: a}]}]"
	routeHome    = "\nRoutes: [{Name: r, Service: s, PathPrefix: /r, Regions: [a, b]}]"
	routeNowhere = "\nRoutes: [{Name: r, Service: s, PathPrefix: /r, Regions: [a, c]}]"
	teamHome     = "\nTeams: [{Name: studio, KeyDigests: [1111111111111111111111111111111111111111111111111111111111111111], Regions: [b]}]"
	teamNowhere  = "\nTeams: [{Name: studio, KeyDigests: [1111111111111111111111111111111111111111111111111111111111111111], Regions: [c]}]"
	evacuateA    = "\nEvacuatedZones: [a1]"
	evacuateBoth = "\nEvacuatedZones: [b1, a1]"
	evacuateNone = "\nEvacuatedZones: []"
	evacuateC    = "\nEvacuatedZones: [a1, c1]"
)

// TestHomeAndEvacuatedZonesOfTickets guards against tickets that are accepted although they name places without an endpoint, or leave a service
// without a zone, and against refusals that don't name the field.
func TestHomeAndEvacuatedZonesOfTickets(t *testing.T) {
	for name, test := range map[string]struct {
		tickets [][]byte
		last    Outcome
	}{
		"regions":                      {[][]byte{ticketText(1, twoZones), ticketText(2, routeHome, teamHome)}, &Accepted{2}},
		"regions in one ticket":        {[][]byte{ticketText(1, routeHome, teamHome, twoZones)}, &Accepted{1}},
		"unknown region of a route":    {[][]byte{ticketText(1, twoZones), ticketText(2, routeNowhere)}, &Refused{2, UnknownRegion, `Routes[0].Regions[1], route "r": region "c" has no endpoint`}},
		"unknown region of a team":     {[][]byte{ticketText(1, twoZones), ticketText(2, teamNowhere)}, &Refused{2, UnknownRegion, `Teams[0].Regions[0], team "studio": region "c" has no endpoint`}},
		"region that goes":             {[][]byte{ticketText(1, twoZones, routeHome), ticketText(2, oneZone)}, &Accepted{2}},
		"evacuation":                   {[][]byte{ticketText(1, twoZones), ticketText(2, evacuateA)}, &Accepted{2}},
		"end of evacuations":           {[][]byte{ticketText(1, twoZones), ticketText(2, evacuateA), ticketText(3, evacuateNone)}, &Accepted{3}},
		"older evacuation":             {[][]byte{ticketText(1, twoZones), ticketText(3, evacuateA), ticketText(2, evacuateNone)}, &Refused{2, NotNewer, `list of evacuated zones was set by ticket 3`}},
		"unknown zone":                 {[][]byte{ticketText(1, twoZones), ticketText(2, evacuateC)}, &Refused{2, UnknownZone, `EvacuatedZones[1]: availability zone "c1" has no endpoint`}},
		"last zone":                    {[][]byte{ticketText(1, twoZones), ticketText(2, evacuateBoth)}, &Refused{2, LastZone, `EvacuatedZones: service "s" has endpoints in ["a1" "b1"] only`}},
		"last zone by removal":         {[][]byte{ticketText(1, twoZones), ticketText(2, evacuateA), ticketText(3, oneZone)}, &Refused{3, LastZone, `EvacuatedZones: service "s" has endpoints in ["a1"] only`}},
		"other tickets while it lasts": {[][]byte{ticketText(1, twoZones), ticketText(2, evacuateA), ticketText(3, studio)}, &Accepted{3}},
	} {
		t.Run(name, func(t *testing.T) {
			var outcome Outcome
			var c *Configuration
			for i, payload := range test.tickets {
				c, outcome = c.Apply(platform.Entry{Offset: platform.Offset(i), Payload: payload})
			}
			assertEqual(t, test.last, outcome)
		})
	}
}

// TestEvacuatedZonesOfConfiguration guards against evacuations that are added up instead of replaced, or get lost in a snapshot.
func TestEvacuatedZonesOfConfiguration(t *testing.T) {
	var c *Configuration
	for i, payload := range [][]byte{ticketText(1, twoZones, routeHome, teamHome), ticketText(2, evacuateA), ticketText(4, "\nEvacuatedZones: [b1]")} {
		c, _ = c.Apply(platform.Entry{Offset: platform.Offset(i), Payload: payload})
	}
	assertEqual(t, []string{"b1"}, c.EvacuatedZones)
	assertEqual(t, uint64(4), c.EvacuationTicket)
	snapshot, err := c.EncodeSnapshot()
	assert.Must(t, err)
	restored, err := DecodeSnapshot(snapshot)
	assert.Must(t, err)
	assertEqual(t, c, restored, cmpopts.IgnoreUnexported(Configuration{}))
	assertEqual(t, []string{"a", "b"}, restored.Routes["r"].Regions)
	assertEqual(t, []string{"b"}, restored.Teams["studio"].Regions)
	c, _ = c.Apply(platform.Entry{Offset: 3, Payload: ticketText(5, evacuateNone)})
	assertEqual(t, 0, len(c.EvacuatedZones))
}

// TestSnapshotOfFormerBuild guards against snapshots without regions and evacuated zones that differ from those of builds which know neither, and
// against snapshots of such builds that can't be read. The expected one was written by such a build.
func TestSnapshotOfFormerBuild(t *testing.T) {
	former := []byte(readFile(t, "testdata/snapshot/expected"))
	c, outcome := (*Configuration)(nil).Apply(platform.Entry{Payload: []byte(readFile(t, "testdata/snapshot/ticket.yaml"))})
	assertEqual(t, Outcome(&Accepted{7}), outcome)
	decoded, err := DecodeSnapshot(former)
	assert.Must(t, err)
	assertEqual(t, c, decoded, cmpopts.IgnoreUnexported(Configuration{}), cmpopts.EquateEmpty())
	snapshot, err := c.EncodeSnapshot()
	assert.Must(t, err)
	// The compressed bytes depend on the version of the compressor, so that the contents are compared.
	assertEqual(t, string(contents(t, former)), string(contents(t, snapshot)))
}

// contents returns the JSON text in a snapshot of one chunk.
func contents(t *testing.T, payload []byte) []byte {
	t.Helper()
	chunk := snapshotChunk{}
	assert.Must(t, json.Unmarshal(payload, &chunk))
	r, err := gzip.NewReader(bytes.NewReader(chunk.Data))
	assert.Must(t, err)
	text, err := io.ReadAll(r)
	assert.Must(t, err)
	return text
}
