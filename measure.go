package main

// MeasureCommand holds the experiments.
type MeasureCommand struct {
	Placement MeasurePlacementCommand `cmd:"" help:"Compare the placement policy with baselines: imbalance, churn, unavailable time."`
}
