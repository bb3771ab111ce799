package measure

// The bounds on the median latency of a path relative to a direct request.
const (
	maxOwnerLatencyRatio    = 2
	maxNonOwnerLatencyRatio = 4
)

// CheckPathTargets compares the median latencies through the owner and through another instance with their bounds, relative to a direct
// request.
func CheckPathTargets(direct, owner, nonOwner PathResult) []TargetResult {
	base := float64(direct.SentP50)
	return []TargetResult{
		pathLatencyTarget("median through the owner / direct", ratio(float64(owner.SentP50), base), maxOwnerLatencyRatio, direct, owner),
		pathLatencyTarget(
			"median through a non-owner / direct", ratio(float64(nonOwner.SentP50), base), maxNonOwnerLatencyRatio, direct, nonOwner,
		),
	}
}

// pathLatencyTarget compares a value with its upper bound. The target is missed if there were no requests or some failed, since
// failures may be faster than successful responses.
func pathLatencyTarget(name string, value, bound float64, results ...PathResult) TargetResult {
	target := atMost(name, value, bound)
	for _, result := range results {
		if result.Failed > 0 || result.Requests == 0 {
			target.Met = false
		}
	}
	return target
}
