package sidecar

import (
	"testing"
	"time"

	"sapphiretray/bubble"
)

// TestConfigLag guards against a lag that is measured from the newest announcement, or from one of a configuration that has arrived.
func TestConfigLag(t *testing.T) {
	type event struct {
		announced, arrived uint64
	}
	tests := []struct {
		name   string
		events []event
		// last is the version that arrives after the events, and want since when the instance lagged then, in seconds from the start.
		last uint64
		want float64
	}{
		{"announced once", []event{{announced: 4}}, 4, 1},
		{"announced again", []event{{announced: 4}, {announced: 4}}, 4, 1},
		{"passed over", []event{{announced: 4}, {announced: 6}}, 6, 1},
		{"an older one arrived", []event{{announced: 4}, {announced: 6}, {arrived: 5}}, 6, 2},
		{"more than are remembered", func() []event {
			events := make([]event, 2*maxAnnouncements)
			for n := range events {
				events[n].announced = uint64(n + 1)
			}
			return events
		}(), 2 * maxAnnouncements, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				start := time.Now()
				var l configLag
				if since := l.arrive(3); !since.IsZero() {
					t.Errorf("without an announcement, lagging since %v", since)
				}
				for _, e := range test.events {
					time.Sleep(time.Second)
					if e.announced > 0 {
						l.announce("b", e.announced, time.Now())
					} else {
						l.arrive(e.arrived)
					}
				}
				if got := l.arrive(test.last).Sub(start).Seconds(); got != test.want {
					t.Errorf("lagging since %v s, want %v s", got, test.want)
				}
				if since := l.arrive(test.last + 1); !since.IsZero() {
					t.Errorf("lagging since %v after all configurations have arrived", since)
				}
			})
		})
	}
}
