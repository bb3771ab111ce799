package instance

import (
	"context"
	"sync"

	"sapphiretray/object"
	"sapphiretray/placement"
	"sapphiretray/planner"
	"sapphiretray/sheet"
	"sapphiretray/table"
	"sapphiretray/timeline"
)

// sheetCache holds the sheet in effect, so that it is fetched and parsed once per version of its row.
type sheetCache struct {
	objects *object.Client
	log     *timeline.Log
	mu      sync.Mutex
	version uint64
	entry   sheet.Entry
	current sheet.Sheet
}

// load returns the sheet that a row names, and the entry in the row.
func (s *sheetCache) load(ctx context.Context, row table.Row) (sheet.Sheet, sheet.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row.Version == s.version {
		return s.current, s.entry, nil
	}
	accepted, err := table.Decode[sheet.Entry](row)
	if err != nil {
		return sheet.Sheet{}, sheet.Entry{}, err
	}
	current, err := sheet.Fetch(ctx, s.objects, accepted.Value)
	if err != nil {
		return sheet.Sheet{}, sheet.Entry{}, err
	}
	s.version, s.entry, s.current = row.Version, accepted.Value, current
	s.reportPins(current)
	return current, accepted.Value, nil
}

// reportPins records in the timeline that pins have no effect. They aren't passed to the planner, because it would create a
// partition for each pinned key, and package ownership can't yet obtain the promise not to serve the key from a member that
// doesn't know that partition.
func (s *sheetCache) reportPins(current sheet.Sheet) {
	for _, service := range current.Services() {
		for _, pin := range current.Of(sheet.Pin, service) {
			s.log.Add(timeline.Event{
				Chart: "sheet", Subject: service + " " + pin.Name(), Trigger: "pin-not-in-effect",
				Reason: "pins of single keys are not in effect in this version",
			})
		}
	}
}

// plannerSheet returns what the sheet named by a row says about a service. Version 0 of the row stands for no sheet.
func (s *sheetCache) plannerSheet(ctx context.Context, row table.Row, service string) (planner.ServiceSheet, error) {
	if row.Version == 0 {
		return planner.ServiceSheet{}, nil
	}
	current, entry, err := s.load(ctx, row)
	if err != nil {
		return planner.ServiceSheet{}, err
	}
	result := planner.ServiceSheet{Capacities: make(map[string]float64), Rules: placementRules(current, service)}
	for _, place := range current.Of(sheet.Place, service) {
		result.Capacities[place.Name()] = place.Number()
	}
	if budget, ok := current.Budget(service); ok {
		result.Budget = &budget
	}
	if entry.Mode != sheet.Apply {
		result.HoldReason = "the sheet's mode is " + string(entry.Mode)
	}
	return result, nil
}

func placementRules(current sheet.Sheet, service string) placement.Rules {
	rules := placement.Rules{Weights: placement.ChurnAverseWeights()}
	for metric, weight := range map[string]*float64{
		sheet.Churn: &rules.Weights.Churn, sheet.Imbalance: &rules.Weights.Imbalance, sheet.Unavailable: &rules.Weights.Unavailable,
	} {
		if value, ok := current.Weight(service, metric); ok {
			*weight = value
		}
	}
	for _, allow := range current.Of(sheet.Allow, service) {
		centres, _ := current.Allowed(service, allow.Name())
		rules.Allow = append(rules.Allow, placement.Allow{Prefix: allow.Name(), DataCentres: centres})
	}
	return rules
}
