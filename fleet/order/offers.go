package order

import "slices"

// AvailableNames returns the sorted names of the models and adapters that requests can use at the endpoint according to
// the log. Artifacts that an unfinished order drops or loads are left out, and so is an adapter whose base model is
// missing. The result is meaningless if the view is not Reported.
func (v *View) AvailableNames() []string {
	available := v.Loaded
	if v.Current != nil {
		available = commonArtifacts(commonArtifacts(available, v.Current.Order.Loaded), v.Current.Order.Wanted)
	}
	loadedModels := baseModels(available)
	names := slices.Clone(loadedModels)
	for _, a := range available {
		if a.Adapter != "" && slices.Contains(loadedModels, a.Model) {
			names = append(names, a.Adapter)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
