package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"sapphiretray/config"
	"sapphiretray/fake"
	"sapphiretray/object"
	"sapphiretray/partition"
	"sapphiretray/sheet"
)

const (
	showService    = "bookings"
	showPartitions = 16
	loopback       = "127.0.0.1"
	showKeys       = 12
	showTimeout    = 10 * time.Second
	// ServedAgainTarget is the longest time that a key may have no owner after a loss.
	ServedAgainTarget = time.Second
)

const showConfig = `{
  "services": [{"name": "bookings", "partitions": 16}],
  "routes": [{"prefix": "/bookings", "service": "bookings", "key": "path:2", "importance": 5, "timeout": "5s"}]
}`

const showSheet = `kind,service,name,data_centre,value,reason
service,bookings,,,16,island bookings
place,bookings,north-1,north,4,large machine
place,bookings,central-1,central,2,medium machine
place,bookings,south-1,south,1,small machine
weight,bookings,churn,,3,each move may lose a booking
budget,bookings,,,30,at most 30 moves a minute
`

// ShowSpecs are three instances whose upstreams differ in speed and size.
func ShowSpecs() []Spec {
	upstream := func(slots int, service time.Duration) []fake.UpstreamOption {
		return []fake.UpstreamOption{fake.WithSlots(slots), fake.WithServiceTime(service), fake.WithGrantCheck()}
	}
	specs := []Spec{
		{Slot: "north-1", DataCentre: "north", Capacity: 4, Slots: 6, Options: upstream(6, time.Millisecond)},
		{Slot: "central-1", DataCentre: "central", Capacity: 2, Slots: 4, Options: upstream(4, 2*time.Millisecond)},
		{Slot: "south-1", DataCentre: "south", Capacity: 1, Slots: 2, Options: upstream(2, 4*time.Millisecond)},
	}
	for n := range specs {
		specs[n].Service, specs[n].IP = showService, loopback
	}
	return specs
}

// Report counts what a scenario saw.
type Report struct {
	Requests    int
	Answered    int
	RanTwice    int
	NotRun      int
	Forwarded   int
	ServedAgain time.Duration
	Faults      []string
}

// OK reports whether every count is right.
func (r Report) OK() bool {
	return len(r.Faults) == 0 && r.Answered == r.Requests && r.RanTwice == 0 && r.ServedAgain > 0 && r.ServedAgain <= ServedAgainTarget
}

// Scenario is the show of the command demo: requests through instances that don't own the key, the loss of an owner, and its
// keys served again.
type Scenario struct {
	Deployment *Deployment
	Out        io.Writer
	client     *Client
	report     Report
}

// NewScenario brings up the deployment of the show in a folder.
func NewScenario(ctx context.Context, executable, dir string, out io.Writer) (*Scenario, error) {
	c, err := config.Parse([]byte(showConfig))
	if err != nil {
		return nil, err
	}
	d, err := Start(ctx, executable, c, ShowSpecs(), WithDir(dir))
	if err != nil {
		return nil, err
	}
	return &Scenario{Deployment: d, Out: out, client: NewClient()}, nil
}

// Run plays the show and returns its counts.
func (s *Scenario) Run(ctx context.Context) (Report, error) {
	s.say("platform stand-in at %s", s.Deployment.PlatformURL())
	for _, n := range s.Deployment.nodes {
		s.say("instance %s in data centre %s: callers at %s, admin at http://%s", n.spec.Slot, n.spec.DataCentre, n.URL(), n.admin)
	}
	if err := s.Deployment.AwaitServing(ctx, showService, showPartitions); err != nil {
		return s.report, err
	}
	s.say("all %d partitions of %s are served", showPartitions, showService)
	if err := s.acceptSheet(ctx); err != nil {
		return s.report, err
	}
	if err := s.requests(ctx, "before"); err != nil {
		return s.report, err
	}
	if err := s.loseOwner(ctx); err != nil {
		return s.report, err
	}
	if err := s.requests(ctx, "after"); err != nil {
		return s.report, err
	}
	s.check()
	return s.report, nil
}

func (s *Scenario) say(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "demo: "+format+"\n", args...)
}

// acceptSheet accepts the sample sheet and prints what it changes.
func (s *Scenario) acceptSheet(ctx context.Context) error {
	platform := sheet.Platform{Table: s.Deployment.table, Object: object.New(s.Deployment.PlatformURL())}
	accepted, changes, err := sheet.Accept(ctx, platform, sheet.Request{
		Content: []byte(showSheet), Mode: sheet.Apply, By: "demo", Why: "sample sheet",
	})
	if err != nil {
		return err
	}
	s.say("sheet version %d is accepted with %d changes:", accepted.Version, len(changes))
	for _, line := range sheet.Lines(changes) {
		s.say("  %s", line)
	}
	return nil
}

// requests books once per key, each through an instance that doesn't own the key.
func (s *Scenario) requests(ctx context.Context, label string) error {
	m, err := partition.New(showService, showPartitions)
	if err != nil {
		return err
	}
	for k := range showKeys {
		key := fmt.Sprintf("club-%d", k)
		owner := s.Deployment.Owner(ctx, showService, m.Partition(key))
		through := s.another(ctx, owner)
		if owner == nil || through == nil {
			return fmt.Errorf("key %s has no owner", key)
		}
		id := label + "-" + key
		s.report.Requests++
		answer, err := s.client.Post(ctx, through.URL()+"/bookings/"+key, id, []byte(`{"riders":2}`))
		if err != nil || answer.Status != http.StatusOK {
			s.report.Faults = append(s.report.Faults, fmt.Sprintf("request %s: %s, %v", id, answer.Code, err))
			continue
		}
		s.report.Answered++
		s.report.Forwarded++
	}
	s.say("%d requests answered, each through an instance that doesn't own the key", showKeys)
	return nil
}

// another returns a live instance that isn't the one given.
func (s *Scenario) another(ctx context.Context, owner *Node) *Node {
	for _, n := range s.Deployment.nodes {
		if status, err := n.Status(ctx); n != owner && err == nil && status.LeaseValid {
			return n
		}
	}
	return nil
}

// loseOwner kills the owner of one key and measures how long the key is not served.
func (s *Scenario) loseOwner(ctx context.Context) error {
	m, err := partition.New(showService, showPartitions)
	if err != nil {
		return err
	}
	const key = "club-0"
	victim := s.Deployment.Owner(ctx, showService, m.Partition(key))
	through := s.another(ctx, victim)
	if victim == nil || through == nil {
		return fmt.Errorf("key %s has no owner", key)
	}
	lost := time.Now()
	victim.Kill()
	s.say("killed %s, the owner of %s", victim.spec.Slot, key)
	ctx, cancel := context.WithTimeout(ctx, showTimeout)
	defer cancel()
	s.report.Requests++
	answer, err := s.client.Post(ctx, through.URL()+"/bookings/"+key, "during-"+key, nil)
	if err != nil {
		// A request that was on its way when the owner was killed has no known outcome; the next one tells.
		answer, err = s.client.Post(ctx, through.URL()+"/bookings/"+key, "during-2-"+key, nil)
	}
	if err != nil {
		return fmt.Errorf("key %s was not served again: %s: %w", key, answer.Code, err)
	}
	s.report.Answered++
	s.report.ServedAgain = time.Since(lost)
	s.say("%s is served again after %d ms (target %d ms)", key, s.report.ServedAgain.Milliseconds(), ServedAgainTarget.Milliseconds())
	return nil
}

// check compares the answers with the journals of the upstreams.
func (s *Scenario) check() {
	effects := s.Deployment.Effects()
	runs := map[string]int{}
	for _, e := range effects {
		runs[e.ID]++
	}
	for id, n := range runs {
		if n > 1 {
			s.report.RanTwice++
			s.report.Faults = append(s.report.Faults, fmt.Sprintf("request %s ran %d times", id, n))
		}
	}
	s.report.Faults = append(s.report.Faults, CheckFences(effects)...)
}
