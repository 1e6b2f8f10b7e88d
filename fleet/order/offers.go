package order

import "slices"

// Offers returns the sorted names that requests may ask for at an endpoint, as far as the log shows: its models, and the
// adapters to them. What an unfinished order takes away is left out, and what it loads is not in yet. Of an endpoint
// that is not Reported this says nothing.
func (v *View) Offers() []string {
	kept := v.Loaded
	if v.Current != nil {
		kept = common(common(kept, v.Current.Order.Loaded), v.Current.Order.Wanted)
	}
	base := models(kept)
	names := slices.Clone(base)
	for _, a := range kept {
		if a.Adapter != "" && slices.Contains(base, a.Model) {
			names = append(names, a.Adapter)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
