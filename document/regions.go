package document

import "slices"

// Regions is a set of regions. The zero value is the empty set.
type Regions struct {
	// Any is true if the set holds all regions; Names is empty then.
	Any bool
	// Names lists the regions, sorted.
	Names []string
}

// AnyRegion returns the set of all regions, including regions that are added later.
func AnyRegion() Regions {
	return Regions{Any: true}
}

// Contains reports whether region is in the set.
func (r Regions) Contains(region string) bool {
	if r.Any {
		return true
	}
	return slices.Contains(r.Names, region)
}

// Empty reports whether the set holds no region.
func (r Regions) Empty() bool {
	return !r.Any && len(r.Names) == 0
}

// Intersect returns the regions that are in both sets.
func (r Regions) Intersect(other Regions) Regions {
	if r.Any {
		return other
	}
	both := Regions{}
	for _, name := range r.Names {
		if other.Contains(name) {
			both.Names = append(both.Names, name)
		}
	}
	return both
}
