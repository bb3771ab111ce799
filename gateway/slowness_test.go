package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/fake"
	"sapphiretray/gateway"
	"sapphiretray/routing"
)

// TestSlowness guards against slow spells of an upstream that are taken for a lasting lack of speed, so that keys move away for a moment,
// against a lasting slowdown that is taken for a spell, and against a malformed report that replaces the last valid one.
func TestSlowness(t *testing.T) {
	const work = 20 * time.Millisecond
	spells := func(elapsed time.Duration) float64 {
		if elapsed%(2*time.Second) >= 1600*time.Millisecond {
			return 3
		}
		return 1
	}
	slowSpells := func(elapsed time.Duration) float64 { return 1.6 * spells(elapsed) }
	tests := []struct {
		name string
		// slowness is the factor by which a request takes longer that begins some time after the start.
		slowness func(elapsed time.Duration) float64
		invalid  bool
		// usual is the service time after ten seconds, now the relative slowness, and mean that of the last seconds.
		usual     time.Duration
		now, mean float64
	}{
		{"usual speed", func(time.Duration) float64 { return 1 }, false, work, 1, 1},
		{"spells", spells, false, work, 3, 1.4},
		{"lasting", func(elapsed time.Duration) float64 { return 1 + float64(elapsed/(5*time.Second)) }, false, 2 * work, 1, 1},
		{"slow machine with spells", slowSpells, false, 32 * time.Millisecond, 3, 1.4},
		{"malformed reports", func(time.Duration) float64 { return 1 }, true, work, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				n := new(fake.Network)
				listener, err := n.Listen("127.0.0.1:80")
				if err != nil {
					t.Fatal(err)
				}
				started := time.Now()
				u := serveRaw(t, listener, func(conn net.Conn, _ *http.Request, id string, number int64) {
					time.Sleep(time.Duration(test.slowness(time.Since(started)) * float64(work)))
					report := fmt.Sprintf("%s: %g", headerSlowness, test.slowness(time.Since(started)))
					if test.invalid && number%2 == 0 {
						report = headerInvalid + ": 1"
					}
					_, _ = io.WriteString(conn, strings.Replace(ok(id, id), "\r\n", "\r\n"+report+"\r\n", 1))
				})
				g := start(t, u, gateway.WithDial(n.DialContext))
				const interval = 50 * time.Millisecond
				for requests := 0; time.Since(started) < 10*time.Second-interval; requests++ {
					if _, err := g.Do(t.Context(), request(fmt.Sprint("r", requests), routing.Idempotent)); err != nil {
						t.Fatal(err)
					}
					time.Sleep(interval - time.Since(started)%interval)
				}
				load := g.RouteLoad("browse")
				if difference := load.ServiceTime - test.usual; difference.Abs() > test.usual/4 {
					t.Errorf("usual service time %v, want %v", load.ServiceTime, test.usual)
				}
				if load.Slowness < test.now-0.1 || load.Slowness > test.now+0.1 {
					t.Errorf("slowness %.2f, want %.2f", load.Slowness, test.now)
				}
				if got := g.MeanSlowness(); got < test.mean-0.2 || got > test.mean+0.2 {
					t.Errorf("mean slowness %.2f, want %.2f", got, test.mean)
				}
				if mean := g.ServiceTimes()["browse"].Mean; mean != load.ServiceTime {
					t.Errorf("service time %v for the planner, %v for other instances", mean, load.ServiceTime)
				}
				time.Sleep(time.Second)
				if got := g.RouteLoad("browse").Slowness; got != 0 {
					t.Errorf("slowness %.2f a second after the last report, want 0", got)
				}
			})
		})
	}
}
