package evacuation_test

import (
	"slices"
	"testing"
	"time"

	"sapphiretray/evacuation"
)

// TestCloses guards against a data centre that still gets requests after the limit, and against one that closes while its keys could still
// move in time.
func TestCloses(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name               string
		limit, propagation time.Duration
		age                time.Duration
		want               time.Duration
	}{
		{"arrives as usual", 5 * time.Second, 2500 * time.Millisecond, 0, 2 * time.Second},
		{"announced a while ago", 5 * time.Second, 2500 * time.Millisecond, time.Second, 2 * time.Second},
		{"announced long ago", 5 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 1500 * time.Millisecond},
		{"the store was silent for longer than the limit", 5 * time.Second, 2500 * time.Millisecond, 9 * time.Second, 0},
		{"short limit", time.Second, 2500 * time.Millisecond, 0, 0},
		{"unknown limit", 0, 2500 * time.Millisecond, 0, 0},
		{"unknown propagation", 5 * time.Second, 0, 0, 2500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := evacuation.New(test.limit, test.propagation)
			closes, begun := r.Begin("north", now, test.age)
			if got := closes.Sub(now); !begun || got != test.want {
				t.Errorf("closes after %v, begun %v, want after %v", got, begun, test.want)
			}
			// The operator may write the row again.
			if again, begun := r.Begin("north", now.Add(time.Minute), 0); begun || again != closes {
				t.Errorf("a repeated notice moves the close by %v, begun %v", again.Sub(closes), begun)
			}
			if _, closed := r.ClosedFor("north", closes.Add(-1)); closed {
				t.Error("closed before")
			}
			if for1, closed := r.ClosedFor("north", closes.Add(time.Second)); !closed || for1 != time.Second {
				t.Errorf("closed %v for %v after a second", closed, for1)
			}
		})
	}
}

// TestSeveral guards against an evacuation that ends with that of another data centre, and against one that is taken back and stays.
func TestSeveral(t *testing.T) {
	now := time.Now()
	r := evacuation.New(5*time.Second, 2*time.Second)
	if r.End("north", now) || r.Avoids("north", now) {
		t.Error("an evacuation ended that had not begun")
	}
	r.Begin("south", now, 0)
	r.Begin("north", now, 0)
	if got := r.DataCentres(); !slices.Equal(got, []string{"north", "south"}) {
		t.Errorf("evacuated: %v", got)
	}
	ended := now.Add(time.Second)
	if !r.End("north", ended) || r.Has("north") || !r.Has("south") {
		t.Errorf("evacuated after the end: %v", r.DataCentres())
	}
	if !r.Avoids("north", ended) || r.Avoids("north", ended.Add(time.Second)) || !r.Avoids("south", ended.Add(time.Second)) {
		t.Error("chosen too early or too late after the end")
	}
	if _, begun := r.Begin("north", now.Add(2*time.Second), 0); !begun || !r.Has("north") {
		t.Error("not evacuated again")
	}
}
