package platform

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/dragonflyworks/dragonflyworks/fleet/assert"
)

const (
	firstInstance  = `{"Name":"a","Address":"10.0.0.1:80","AvailabilityZone":"z","Region":"r","State":"Live"}`
	secondInstance = `{"Name":"b","Address":"10.0.0.2:80","AvailabilityZone":"z","Region":"r","State":"Leaving"}`
)

// TestOddInstance guards against one odd entry of the instance list that hides all others, or that names an instance.
func TestOddInstance(t *testing.T) {
	for name, odd := range map[string]string{
		"null": "null", "list": `[1]`, "number": "1e999", "nested": strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
		"name is a number": `{"Name":7,"Address":"10.0.0.3:80","State":"Live"}`, "no name": `{"Address":"10.0.0.3:80","State":"Leaving"}`,
		"unknown state": `{"Name":"b","Address":"10.0.0.2:80","State":"Warm"}`, "no state": `{"Name":"b","Address":"10.0.0.2:80"}`,
		"state is a list": `{"Name":"b","State":["Live"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			var listing Listing
			assert.NoError(t, json.Unmarshal([]byte(`{"Version":3,"Instances":[`+firstInstance+`,`+secondInstance+`,`+odd+`]}`), &listing))
			assert.Equal(t, Listing{Version: 3, Instances: []Instance{
				{"a", "10.0.0.1:80", "z", "r", Live}, {"b", "10.0.0.2:80", "z", "r", Leaving},
			}}, listing)
		})
	}
	for _, text := range []string{`{"Version":-1}`, `{"Version":1e999}`, `{"Version":18446744073709551616}`, `{"Instances":{}}`, "[]", "\xff", strings.Repeat("[", 1<<20)} {
		t.Run("whole list "+text[:min(len(text), 30)], func(t *testing.T) {
			assert.Fails(t, json.Unmarshal([]byte(text), &Listing{}))
		})
	}
}
