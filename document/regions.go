package document

import "slices"

// Regions is a set of regions. The zero value is the empty set.
type Regions struct {
	// Any is true when there is no restriction; Names is empty then.
	Any bool
	// Names are sorted.
	Names []string
}

// AnyRegion is the set of all regions, also of those that are added later.
func AnyRegion() Regions {
	return Regions{Any: true}
}

// Contains tells whether region is in the set.
func (r Regions) Contains(region string) bool {
	if r.Any {
		return true
	}
	return slices.Contains(r.Names, region)
}

// Empty tells whether no region is in the set.
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
