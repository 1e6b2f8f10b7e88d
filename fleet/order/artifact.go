package order

import (
	"cmp"
	"slices"
)

// compare orders artifacts by model, adapter and version.
func (a Artifact) compare(b Artifact) int {
	return cmp.Or(
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Adapter, b.Adapter),
		cmp.Compare(a.Version, b.Version),
	)
}

// sorted returns a sorted copy without duplicates, never nil.
func sorted(artifacts []Artifact) []Artifact {
	result := append([]Artifact{}, artifacts...)
	slices.SortFunc(result, Artifact.compare)
	return slices.Compact(result)
}

// equal reports whether two lists hold the same artifacts.
func equal(a, b []Artifact) bool { return slices.Equal(sorted(a), sorted(b)) }

// loads reports whether an artifact is wanted that isn't loaded.
func loads(loaded, wanted []Artifact) bool {
	return slices.ContainsFunc(wanted, func(a Artifact) bool { return !slices.Contains(loaded, a) })
}

// common returns the artifacts of both lists.
func common(a, b []Artifact) []Artifact {
	result := []Artifact{}
	for _, artifact := range a {
		if slices.Contains(b, artifact) {
			result = append(result, artifact)
		}
	}
	return result
}

// models returns the sorted names of the models, without those of which only an adapter is in the list.
func models(artifacts []Artifact) []string {
	names := []string{}
	for _, a := range artifacts {
		if a.Adapter == "" {
			names = append(names, a.Model)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
