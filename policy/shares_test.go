package policy_test

import (
	"testing"
	"time"

	"sapphiretray/policy"
)

// service is the service time of the requests in these tests.
const service = 100 * time.Millisecond

// observeDemand records requests of each priority that together ask for the given numbers of busy slots, for 3 s, and returns their end.
func observeDemand(s *policy.Shares, now time.Time, demand []float64, weight float64) time.Time {
	const step = 10 * time.Millisecond
	for range 300 {
		now = now.Add(step)
		for p, slots := range demand {
			requests := slots * step.Seconds() / service.Seconds()
			s.Observe(now, p, time.Duration(requests*float64(service)/weight), weight)
		}
	}
	return now
}

// TestShares guards against urgent requests that are held back for less urgent ones, and against room that stays unused.
func TestShares(t *testing.T) {
	tests := []struct {
		name   string
		demand []float64
		weight float64
		want   []float64
	}{
		{name: "there is room for all", demand: []float64{4, 4}, weight: 1},
		{name: "the less urgent get the rest", demand: []float64{10, 16}, weight: 1, want: []float64{1.5, 0.5625}},
		{name: "nothing is left", demand: []float64{36, 10}, weight: 1, want: []float64{0.53, 0.05}},
		{name: "the most urgent alone exceed the room", demand: []float64{72}, weight: 1, want: []float64{0.264}},
		{name: "most requests are held back already", demand: []float64{10, 16}, weight: 8, want: []float64{1.5, 0.5625}},
		{name: "a priority without requests", demand: []float64{0, 9, 0, 18}, weight: 1, want: []float64{1.5, 1.5, 1.5, 0.555}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s policy.Shares
			now := observeDemand(&s, time.Unix(0, 0), test.demand, test.weight)
			got := s.Room(now, 20)
			for p, want := range test.want {
				if p >= len(got) || got[p] < 0.9*want || got[p] > 1.1*want {
					t.Errorf("priority %d: room %v, want %.2f", p, got, want)
				}
			}
			if len(test.want) == 0 && len(got) > 0 {
				t.Errorf("room %v although there is room for all", got)
			}
			if got := s.Room(now.Add(3*time.Second), 20); len(got) > 0 {
				t.Errorf("room %v 3 s after the last request", got)
			}
		})
	}
}

// TestCrestAtCalledService guards against a crest of requests whose nested calls a full service refuses or serves in place of its own, more
// urgent requests, and against one that leaves slots of the called service idle. The demand rises to five times its level for 4 s, as with
// callers whose number oscillates; reports take 100 ms.
func TestCrestAtCalledService(t *testing.T) {
	const (
		slots  = 18
		step   = 5 * time.Millisecond
		calls  = 1.5
		urgent = 12.0
	)
	var s policy.Shares
	var gate policy.CallGate[string, string]
	start := time.Unix(0, 0)
	var reports [20][]float64
	var offered, admitted, idle, excess float64
	seconds := 0.0
	for n := range 2400 {
		now := start.Add(time.Duration(n) * step)
		at := now.Sub(start)
		crest := at > 4*time.Second && at < 8*time.Second
		rate := 40.0
		if crest {
			rate = 200
		}
		s.Observe(now, 0, time.Duration(urgent*float64(step)), 1)
		used := urgent
		// One request arrives in each step, and stands for a part of a request.
		part := rate * step.Seconds()
		share, ok := gate.Admit(now, "parent")
		if ok {
			s.Observe(now, 1, time.Duration(part*calls*float64(service)), 1/share)
		}
		used += share * rate * calls * service.Seconds()
		report := reports[n%len(reports)]
		reports[n%len(reports)] = s.Room(now, slots)
		reported := 1.5
		if len(report) > 1 {
			reported = report[1]
		}
		gate.Observe(now, "parent", "called", reported)
		if at > 5*time.Second && at < 8*time.Second {
			offered += rate
			admitted += share * rate
			idle += max(0, slots-used)
			excess += max(0, used-slots)
			seconds += step.Seconds()
		}
	}
	mean := step.Seconds() / seconds
	t.Logf("of %.0f requests a second at the crest, %.0f were admitted; %.1f slots idle, %.1f demanded beyond the slots",
		offered*mean, admitted*mean, idle*mean, excess*mean)
	if idle*mean > 0.15*slots || excess*mean > 0.1*slots {
		t.Errorf("%.1f slots idle, %.1f demanded beyond the slots", idle*mean, excess*mean)
	}
	end := start.Add(2400 * step)
	if share := gate.Share(end, "parent"); share < 0.95 {
		t.Errorf("share %.2f four seconds after the crest", share)
	}
}

// TestCallGate guards against a share that is learnt once and kept, and against requests of other routes that are held back.
func TestCallGate(t *testing.T) {
	var gate policy.CallGate[string, string]
	now := time.Unix(0, 0)
	for range 80 {
		now = now.Add(20 * time.Millisecond)
		gate.Observe(now, "parent", "full", 0.25)
		gate.Observe(now, "parent", "idle", 1.5)
	}
	admitted := 0
	for range 400 {
		if _, ok := gate.Admit(now, "parent"); ok {
			admitted++
		}
		if _, ok := gate.Admit(now, "other"); !ok {
			t.Fatal("a request of a route without nested calls was refused")
		}
	}
	if admitted < 90 || admitted > 130 {
		t.Errorf("%d of 400 requests admitted at a share of a quarter", admitted)
	}
	if _, ok := gate.Admit(now.Add(time.Minute), "parent"); !ok {
		t.Error("a request was refused a minute after the last report")
	}
}
