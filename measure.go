package main

// MeasureCommand holds the experiments.
type MeasureCommand struct {
	Load      MeasureLoadCommand      `cmd:"" help:"Measure admission, load shedding and retries under overload and faults."`
	Path      MeasurePathCommand      `cmd:"" help:"Compare direct requests with those through the owner and through another instance."`
	Placement MeasurePlacementCommand `cmd:"" help:"Compare the placement policy with baselines: imbalance, churn, unavailable time."`
}
