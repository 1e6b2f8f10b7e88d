package operator

import (
	"fmt"
	"slices"
)

// allowedModel is what names of models, adapters and versions consist of.
const allowedModel = "letters, digits and . _ - : /"

// validateWanted checks what engines are to load, of a set or of one endpoint.
func (v *validator) validateWanted(path string, wanted []Artifact, role string) {
	list := path + ".Wanted"
	v.require(len(wanted) <= MaxArtifacts, list, fmt.Sprintf("has %d entries", len(wanted)), fmt.Sprintf("up to %d", MaxArtifacts))
	for i, a := range wanted {
		v.validateArtifact(fmt.Sprintf("%s[%d]", list, i), wanted, a)
	}
	v.distinct(list, "", namesOf(wanted, Artifact.name))
	if role != "" {
		v.name(path+".Role", role)
		v.require(len(wanted) > 0, path+".Role", "stands without Wanted", "a role beside Wanted")
	}
}

// validateArtifact checks one artifact; an adapter needs its model in the same list.
func (v *validator) validateArtifact(path string, wanted []Artifact, a Artifact) {
	v.text(path+".Model", a.Model, modelPattern, MaxModelLength, allowedModel)
	if a.Version != "" {
		v.text(path+".Version", a.Version, modelPattern, MaxModelLength, allowedModel)
	}
	if a.Adapter == "" {
		return
	}
	v.text(path+".Adapter", a.Adapter, modelPattern, MaxModelLength, allowedModel)
	hasModel := slices.ContainsFunc(wanted, func(b Artifact) bool { return b.Adapter == "" && b.Model == a.Model })
	v.require(hasModel, path+".Adapter", fmt.Sprintf("%q stands without its model", shortened(a.Adapter)), "an adapter beside its model")
}

// name returns what tells an artifact from the others of an engine, which has one version of each.
func (a Artifact) name() string { return a.Model + " " + a.Adapter }

func (v *validator) validateRetired(path string, s InstanceSet) {
	between(v, path+".LoadLimit", s.LoadLimit, 0, MaxLoadLimit)
	list := path + ".Retired"
	v.require(len(s.Retired) <= MaxRetired, list, fmt.Sprintf("has %d models", len(s.Retired)), fmt.Sprintf("up to %d", MaxRetired))
	for i, model := range s.Retired {
		field := fmt.Sprintf("%s[%d]", list, i)
		v.text(field, model, modelPattern, MaxModelLength, allowedModel)
		v.require(!s.wants(model), field, fmt.Sprintf("%q is wanted by the same set", shortened(model)), "models that the set doesn't want")
	}
	v.distinct(list, "", s.Retired)
}

// wants reports whether the set or one of its endpoints wants a model.
func (s InstanceSet) wants(model string) bool {
	isModel := func(a Artifact) bool { return a.Model == model }
	return slices.ContainsFunc(s.Wanted, isModel) || slices.ContainsFunc(s.Endpoints, func(e Endpoint) bool {
		return slices.ContainsFunc(e.Wanted, isModel)
	})
}

// WantedOf returns the state that an endpoint of the set is ordered to have; ok is false if it gets no orders.
func (s InstanceSet) WantedOf(e Endpoint) (wanted []Artifact, role string, ok bool) {
	switch {
	case e.Kind != EngineEndpoint:
		return nil, "", false
	case len(e.Wanted) > 0:
		return e.Wanted, e.Role, true
	default:
		return s.Wanted, s.Role, len(s.Wanted) > 0
	}
}
