package ingress

import (
	"math"
	"math/rand/v2"
	"testing"

	"sapphiretray/routing"
)

// TestSharesOfManyInstances guards against a large deployment that sends too many of the requests of a split route to one service, because
// each instance sends its first ones there and gets only few.
func TestSharesOfManyInstances(t *testing.T) {
	const (
		instances, requests = 195, 300
		// bound is how far the share of a service may be off in 300 requests.
		bound = 0.1
	)
	tests := []struct {
		name    string
		weights []int
	}{
		{"halves", []int{1, 1}},
		{"three equal parts", []int{1, 1, 1}},
		{"a tenth", []int{90, 10}},
		{"large weights", []int{50_000, 30_000, 20_000}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route := &routing.Route{Name: "split"}
			total := 0
			for n, weight := range test.weights {
				route.Shares = append(route.Shares, routing.Share{Service: string(rune('a' + n)), Weight: weight})
				total += weight
			}
			fleet := make([]roundRobin, instances)
			received := make(map[string]int)
			for range requests {
				received[fleet[rand.N(instances)].next(route)]++
			}
			for _, share := range route.Shares {
				got, want := float64(received[share.Service])/requests, float64(share.Weight)/float64(total)
				if math.Abs(got-want) > bound {
					t.Errorf("the service %s received %.2f of the requests, want %.2f", share.Service, got, want)
				}
			}
		})
	}
}

// TestSharesOfOneInstance guards against shares of an instance that aren't exact after a whole round, wherever it begins.
func TestSharesOfOneInstance(t *testing.T) {
	route := &routing.Route{Name: "split", Shares: []routing.Share{{Service: "a", Weight: 3}, {Service: "b", Weight: 2}, {Service: "c"}}}
	for range 20 {
		var r roundRobin
		received := make(map[string]int)
		for range 50 {
			received[r.next(route)]++
		}
		if received["a"] != 30 || received["b"] != 20 {
			t.Errorf("received %v of 50 requests, want 30 for a and 20 for b", received)
		}
	}
}
