package instance

import (
	"context"
	"fmt"
	"sync"

	"sapphiretray/object"
	"sapphiretray/partition"
	"sapphiretray/pause"
	"sapphiretray/placement"
	"sapphiretray/planner"
	"sapphiretray/sheet"
	"sapphiretray/table"
)

// pausedBy returns the reason why moves of a service are paused, or an empty text.
func pausedBy(row table.Row, service string) (string, error) {
	accepted, err := table.Decode[pause.State](row)
	if err != nil {
		return "", err
	}
	if p, ok := accepted.Value.Paused(service); ok {
		return fmt.Sprintf("paused by %s: %s", p.By, p.Why), nil
	}
	return "", nil
}

// sheets keeps the sheet in effect for the planner.
type sheets struct {
	objects *object.Client
	mu      sync.Mutex
	version uint64
	entry   sheet.Entry
	current sheet.Sheet
}

func (s *sheets) load(ctx context.Context, row table.Row) (sheet.Sheet, sheet.Entry, error) {
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
	return current, accepted.Value, nil
}

// rules returns what the sheet named by a row says about a service.
func (s *sheets) rules(ctx context.Context, row table.Row, service string) (planner.Sheet, error) {
	if row.Version == 0 {
		return planner.Sheet{}, nil
	}
	current, entry, err := s.load(ctx, row)
	if err != nil {
		return planner.Sheet{}, err
	}
	result := planner.Sheet{Capacities: make(map[string]float64), Rules: placementRules(current, service)}
	for _, place := range current.Of(sheet.Place, service) {
		result.Capacities[place.Name()] = place.Number()
	}
	if budget, ok := current.Budget(service); ok {
		result.Budget = &budget
	}
	if entry.Mode != sheet.Apply {
		result.Hold = "the sheet's mode is " + string(entry.Mode)
	}
	return result, nil
}

func placementRules(current sheet.Sheet, service string) placement.Rules {
	rules := placement.Rules{Weights: placement.BookingWeights()}
	for metric, weight := range map[string]*float64{
		sheet.Churn: &rules.Weights.Churn, sheet.Imbalance: &rules.Weights.Imbalance, sheet.Unavailable: &rules.Weights.Unavailable,
	} {
		if value, ok := current.Weight(service, metric); ok {
			*weight = value
		}
	}
	for _, pin := range current.Of(sheet.Pin, service) {
		slot, dataCentre := current.PinTarget(service, pin.Name())
		rules.Pins = append(rules.Pins, placement.Pin{
			Key: pin.Name(), Hash: partition.Hash(pin.Name()), Slot: slot, DataCentre: dataCentre,
		})
	}
	for _, allow := range current.Of(sheet.Allow, service) {
		centres, _ := current.Allowed(service, allow.Name())
		rules.Allow = append(rules.Allow, placement.Allow{Prefix: allow.Name(), DataCentres: centres})
	}
	return rules
}
