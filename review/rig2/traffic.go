package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is what a requester got.
type outcome struct {
	status int
	header http.Header
	body   string
	err    error
}

var requester = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, CheckRedirect: noRedirect}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// attempt is one requester attempt.
type attempt struct {
	id, method, target, body string
	// key is the shard key, or empty.
	key      string
	deadline time.Duration
}

// send sends a requester attempt to the process of a machine.
func send(rec *recorder, m *machine, a attempt) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	rec.note("request %s: %s %s key %q to %s", a.id, a.method, a.target, a.key, m.name)
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+m.outbound+a.target, strings.NewReader(a.body))
	if err != nil {
		return outcome{err: err}
	}
	r.Host = "clubs.example"
	r.Header.Set(headerID, a.id)
	r.Header.Set(headerDeadline, fmt.Sprint(a.deadline.Milliseconds()))
	if a.key != "" {
		r.Header.Set(headerKey, a.key)
	}
	response, err := requester.Do(r)
	if err != nil {
		rec.note("request %s: %v", a.id, err)
		return outcome{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	rec.note("request %s: status %d, stamp %q, %q %v", a.id, response.StatusCode, response.Header.Get(headerStamp), content, err)
	return outcome{status: response.StatusCode, header: response.Header, body: string(content), err: err}
}

// clubRoutes are the routes of a small deployment: club browsing and bookings at the service that is divided by key, lookups at the other.
var clubRoutes = []route{
	{Name: "browse", Prefix: "/fleet/", RouteType: "safe", Timeout: "1500ms", Latency: "600ms", Priority: 2, Service: "bookings", MaxAttempts: 2},
	{Name: "booking", Prefix: "/rides/", RouteType: "unsafe", Timeout: "1200ms", Latency: "800ms", Priority: 1, Service: "bookings", MaxAttempts: 2},
	{Name: "lookup", Prefix: "/docs/", RouteType: "safe", Timeout: "800ms", Latency: "300ms", Priority: 1, Service: "clubdocs", MaxAttempts: 2},
}

// waiverRoute is a route for uploads.
var waiverRoute = route{
	Name: "waiver", Prefix: "/waivers/", RouteType: "upload", Timeout: "2000ms", Latency: "800ms", Priority: 1, Service: "clubdocs", MaxAttempts: 2,
}

// requestsPerSecond is the load of a window of traffic. Four of five requests go to the service that is divided by key, as at the site.
const requestsPerSecond = 10

// traffic sends requests to the live machines for a time, and returns how many were sent and how many were served.
func traffic(d *deployment, name string, length time.Duration) (sent, served int) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for n := range int(length.Seconds() * requestsPerSecond) {
		live := d.live()
		m := live[rand.IntN(len(live))]
		a := attempt{id: fmt.Sprintf("%s%03d", name, n), method: http.MethodGet, target: "/docs/a", deadline: 800 * time.Millisecond}
		switch n % 10 {
		case 0, 5:
		case 1, 3, 8:
			a.method, a.target, a.body, a.deadline = http.MethodPost, "/rides/a", "two riders", 2*time.Second
			a.key = fmt.Sprint(rand.IntN(65536))
		default:
			a.target, a.deadline, a.key = "/fleet/a", 1500*time.Millisecond, fmt.Sprint(rand.IntN(65536))
		}
		group.Go(func() {
			o := send(d.rec, m, a)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if o.status == http.StatusOK && o.err == nil {
				served++
			}
		})
		time.Sleep(time.Second / requestsPerSecond)
	}
	group.Wait()
	d.rec.note("traffic %q: %d requests sent, %d served", name, sent, served)
	return sent, served
}

const (
	// contact is the time after an event from which machines count as in touch again.
	contact = 3 * time.Second
	// recovery is the time within which the deployment must serve again after the final fault.
	recovery = 15 * time.Second
)

// judgeRecovery compares the traffic before the final fault with that later than the recovery time after it.
func judgeRecovery(c *caseEnv, before, beforeServed, after, afterServed int) (int, error) {
	if 4*beforeServed < 3*before {
		return 0, fmt.Errorf("only %d of %d requests were served before the trouble", beforeServed, before)
	}
	if 4*afterServed < after {
		fmt.Printf("broken: later than the recovery time, %d of %d requests were served; %d of %d were before\n",
			afterServed, after, beforeServed, before)
		return statusBroken, nil
	}
	c.rec.note("held: %d of %d requests were served, %d of %d before", afterServed, after, beforeServed, before)
	return statusHeld, nil
}
