package order

import (
	"cmp"
	"slices"
)

// compare orders artifacts by model, adapter and version, as cmp.Compare does.
func (a Artifact) compare(b Artifact) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Adapter, b.Adapter),
		cmp.Compare(a.Version, b.Version),
	)
}

// sortedUnique returns a sorted copy of the artifacts without duplicates; the result is never nil.
func sortedUnique(artifacts []Artifact) []Artifact {
	result := append([]Artifact{}, artifacts...)
	slices.SortFunc(result, Artifact.compare)
	return slices.Compact(result)
}

// sameArtifacts reports whether two lists hold the same artifacts, regardless of order and duplicates.
func sameArtifacts(a, b []Artifact) bool { return slices.Equal(sortedUnique(a), sortedUnique(b)) }

// requiresLoad reports whether at least one wanted artifact is not loaded.
func requiresLoad(loaded, wanted []Artifact) bool {
	return slices.ContainsFunc(wanted, func(a Artifact) bool { return !slices.Contains(loaded, a) })
}

// commonArtifacts returns the artifacts of a that are also in b, in the order of a.
func commonArtifacts(a, b []Artifact) []Artifact {
	result := []Artifact{}
	for _, artifact := range a {
		if slices.Contains(b, artifact) {
			result = append(result, artifact)
		}
	}
	return result
}

// baseModels returns the sorted names of the models that are in the list themselves. A model of which the list holds
// only an adapter is left out.
func baseModels(artifacts []Artifact) []string {
	names := []string{}
	for _, a := range artifacts {
		if a.Adapter == "" {
			names = append(names, a.Model)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
