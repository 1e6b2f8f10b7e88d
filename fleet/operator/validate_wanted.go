package operator

import (
	"fmt"
	"slices"
)

// allowedModelCharacters describes the characters allowed in names of models and adapters and in versions.
const allowedModelCharacters = "letters, digits and . _ - : /"

// validateWanted checks the desired artifacts and role of an instance set or of one endpoint.
func (v *validator) validateWanted(path string, wanted []Artifact, role string) {
	list := path + ".Wanted"
	v.require(len(wanted) <= MaxArtifacts, list, fmt.Sprintf("has %d entries", len(wanted)), fmt.Sprintf("up to %d", MaxArtifacts))
	for i, a := range wanted {
		v.validateArtifact(fmt.Sprintf("%s[%d]", list, i), wanted, a)
	}
	v.requireDistinct(list, "", mapStrings(wanted, Artifact.identity))
	if role != "" {
		v.requireName(path+".Role", role)
		v.require(len(wanted) > 0, path+".Role", "is set without Wanted", "a role in addition to Wanted")
	}
}

// validateArtifact checks one artifact of a Wanted list; an adapter requires its model in the same list.
func (v *validator) validateArtifact(path string, wanted []Artifact, a Artifact) {
	v.requireText(path+".Model", a.Model, modelPattern, MaxModelLength, allowedModelCharacters)
	if a.Version != "" {
		v.requireText(path+".Version", a.Version, modelPattern, MaxModelLength, allowedModelCharacters)
	}
	if a.Adapter == "" {
		return
	}
	v.requireText(path+".Adapter", a.Adapter, modelPattern, MaxModelLength, allowedModelCharacters)
	hasModel := slices.ContainsFunc(wanted, func(b Artifact) bool { return b.Adapter == "" && b.Model == a.Model })
	v.require(hasModel, path+".Adapter", fmt.Sprintf("%q is listed without its model", truncated(a.Adapter)), "an adapter whose model is in the same list")
}

// identity returns the model and adapter of an artifact without its version, since an engine loads only one version of
// each.
func (a Artifact) identity() string { return a.Model + " " + a.Adapter }

func (v *validator) validateRetiredAndLoadLimit(path string, s InstanceSet) {
	requireInRange(v, path+".LoadLimit", s.LoadLimit, 0, MaxLoadLimit)
	list := path + ".Retired"
	v.require(len(s.Retired) <= MaxRetiredModels, list, fmt.Sprintf("has %d models", len(s.Retired)), fmt.Sprintf("up to %d", MaxRetiredModels))
	for i, model := range s.Retired {
		field := fmt.Sprintf("%s[%d]", list, i)
		v.requireText(field, model, modelPattern, MaxModelLength, allowedModelCharacters)
		v.require(!s.wants(model), field, fmt.Sprintf("%q is wanted by the same set", truncated(model)), "models that the set doesn't want")
	}
	v.requireDistinct(list, "", s.Retired)
}

// wants reports whether Wanted of the set or of one of its endpoints contains the model or an adapter for it.
func (s InstanceSet) wants(model string) bool {
	isModel := func(a Artifact) bool { return a.Model == model }
	return slices.ContainsFunc(s.Wanted, isModel) || slices.ContainsFunc(s.Endpoints, func(e Endpoint) bool {
		return slices.ContainsFunc(e.Wanted, isModel)
	})
}

// DesiredState returns the artifacts and role desired for an endpoint of the set; ok is false if the endpoint gets no
// orders.
func (s InstanceSet) DesiredState(e Endpoint) (wanted []Artifact, role string, ok bool) {
	switch {
	case e.Kind != EngineEndpoint:
		return nil, "", false
	case len(e.Wanted) > 0:
		return e.Wanted, e.Role, true
	default:
		return s.Wanted, s.Role, len(s.Wanted) > 0
	}
}
