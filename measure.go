package main

// MeasureCommand groups the measurements and simulations.
type MeasureCommand struct {
	Control   MeasureControlCommand   `cmd:"" help:"Measure the control plane without requests: CPU, memory, messages, config changes."`
	Load      MeasureLoadCommand      `cmd:"" help:"Measure admission, load shedding and retries under overload and faults."`
	Losses    MeasureLossesCommand    `cmd:"" help:"Kill owners and measure how long their keys are not served."`
	Path      MeasurePathCommand      `cmd:"" help:"Compare direct requests with those through the owner and through another instance."`
	Placement MeasurePlacementCommand `cmd:"" help:"Compare the placement policy with baselines: imbalance, churn, unavailable time."`
}
