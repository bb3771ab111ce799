package measure_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"sapphiretray/measure"
)

// TestPath guards against a measurement that omits delays behind slow responses, counts failures as successes, or mixes up endpoints.
func TestPath(t *testing.T) {
	serve := func(delay time.Duration, status int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(delay)
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	var used time.Duration
	results, err := measure.Path(t.Context(), measure.PathSpec{
		Endpoints: []measure.PathEndpoint{
			{Name: "direct", URL: serve(5*time.Millisecond, http.StatusOK), Processes: []int{os.Getpid()}},
			{Name: "owner", URL: serve(50*time.Millisecond, http.StatusOK)},
			{Name: "failing", URL: serve(0, http.StatusBadGateway)},
		},
		Rate: 100, Duration: 500 * time.Millisecond, Rounds: 2, Seed: 1,
		ProcessorTime: func(int) (time.Duration, error) {
			used += time.Second
			return used, nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	direct, owner, failing := results[0], results[1], results[2]
	if direct.Requests == 0 || direct.Requests != owner.Requests || direct.Failed+owner.Failed > 0 {
		t.Errorf("unequal load or failures: %+v, %+v", direct, owner)
	}
	if owner.SentP50 < 50*time.Millisecond || owner.P50 < owner.SentP50 || owner.Relative < 1.5 {
		t.Errorf("owner: %+v", owner)
	}
	// Each of the two rounds uses 1 s for about 50 requests; 200 is well above their number.
	if direct.ProcessorTime < 2*time.Second/200 || owner.ProcessorTime != 0 {
		t.Errorf("processor time %v and %v", direct.ProcessorTime, owner.ProcessorTime)
	}
	if failing.Failed != failing.Requests || failing.Rate != 0 {
		t.Errorf("failing: %+v", failing)
	}
	for i, met := range []bool{false, false} {
		if target := measure.CheckPathTargets(direct, owner, failing)[i]; target.Met != met {
			t.Errorf("target %+v", target)
		}
	}
	if targets := measure.CheckPathTargets(direct, direct, direct); !targets[0].Met || !targets[1].Met {
		t.Errorf("targets %+v", targets)
	}
}

// TestProcessorTime guards against the processor time of another process or in a wrong unit.
func TestProcessorTime(t *testing.T) {
	before, err := measure.ProcessorTime(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for start := time.Now(); time.Since(start) < 200*time.Millisecond; {
	}
	after, err := measure.ProcessorTime(os.Getpid())
	if err != nil || after-before < 50*time.Millisecond || after-before > 10*time.Second {
		t.Errorf("used %v: %v", after-before, err)
	}
	if _, err := measure.ProcessorTime(-1); err == nil {
		t.Error("no error for a process that doesn't exist")
	}
}
