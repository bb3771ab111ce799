package measure

// The bounds on the median of a path relative to a direct call.
const (
	maxOwnerPath    = 2
	maxNonOwnerPath = 4
)

// PathTargets compares the results for the direct call, the owner's instance and another instance with the design's
// bounds.
func PathTargets(direct, owner, nonOwner PathResult) []LoadTarget {
	base := float64(direct.SentP50)
	return []LoadTarget{
		pathTarget("median through the owner / direct", ratio(float64(owner.SentP50), base), maxOwnerPath, direct, owner),
		pathTarget("median through a non-owner / direct", ratio(float64(nonOwner.SentP50), base), maxNonOwnerPath, direct, nonOwner),
	}
}

// pathTarget counts a target as missed if requests failed, since failures may be faster than answers.
func pathTarget(name string, value, bound float64, results ...PathResult) LoadTarget {
	target := atMost(name, value, bound)
	for _, result := range results {
		if result.Failed > 0 || result.Requests == 0 {
			target.Met = false
		}
	}
	return target
}
