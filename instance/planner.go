package instance

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/peer"
	"sapphiretray/planner"
	"sapphiretray/timeline"
	"sapphiretray/wait"

	"golang.org/x/sync/errgroup"
)

const (
	candidatePoll  = time.Second
	statusTimeout  = 300 * time.Millisecond
	statusesAtOnce = 32
)

// runPlanner offers to run the planner as long as this instance is one of the readers of the table: the other instances
// would only add reads.
func (i *Instance) runPlanner(ctx context.Context, s *session) error {
	p := planner.New(
		planner.WithPlatform(i.table, i.objects),
		planner.WithIncarnation(s.self),
		planner.WithServices(i.plannedServices),
		planner.WithLoads(i.collectLoads),
		planner.WithExpired(i.provedExpired),
		planner.WithSettled(i.settled),
		planner.WithReport(i.reportPlan),
		planner.WithSheet(i.sheets.rules),
	)
	for ctx.Err() == nil {
		if !i.isReader() || !s.lease().Valid() || s.state() != member.Ready {
			wait.For(ctx, candidatePoll)
			continue
		}
		candidate, cancel := context.WithCancel(ctx)
		group, candidate := errgroup.WithContext(candidate)
		group.Go(func() error { return p.Run(candidate) })
		group.Go(func() error {
			for candidate.Err() == nil && i.isReader() && s.lease().Valid() && s.state() == member.Ready {
				wait.For(candidate, candidatePoll)
			}
			cancel()
			return nil
		})
		err := group.Wait()
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *session) state() member.State {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	return s.record.State
}

func (i *Instance) plannedServices(context.Context) ([]planner.Service, error) {
	current := i.routes.current.Load()
	if current == nil {
		return nil, nil
	}
	var services []planner.Service
	for _, s := range current.Services() {
		services = append(services, planner.Service{Name: s.Name(), Partitions: s.Partitions()})
	}
	return services, nil
}

// provedExpired asks the witnesses of a member that shows signs of a loss. Members without such signs cost nothing.
func (i *Instance) provedExpired(ctx context.Context, record member.Record) bool {
	s := i.session.Load()
	if s == nil || !i.suspects.has(record.Incarnation) || record.Incarnation == s.self {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	proved, err := s.prove(ctx, record.Incarnation)
	return err == nil && proved
}

func (i *Instance) reportPlan(e planner.Event) {
	trigger := string(e.Kind)
	if e.Held {
		trigger += " held back"
	}
	subject, to := partitionName(e.Service, e.Partition), e.New.String()
	if e.Kind == planner.Expired {
		subject, to = e.Old.String(), string(member.Expired)
	}
	i.log.Add(timeline.Event{Chart: "planner", Subject: subject, From: e.Old.String(), To: to, Trigger: trigger, Reason: e.Reason})
	select {
	case i.changed <- struct{}{}:
	default:
	}
}

// loads keeps the newest status of each member, as collected by the planner.
type loads struct {
	mu      sync.Mutex
	reports map[member.Incarnation]Status
	at      map[member.Incarnation]time.Time
}

// collectLoads asks the members of a service for their status.
func (i *Instance) collectLoads(ctx context.Context, service string) (planner.Loads, error) {
	result := planner.Loads{Members: make(map[member.Incarnation]planner.LoadReport)}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(statusesAtOnce)
	for _, m := range i.directory.all() {
		if m.Service == service && !m.State.Gone() {
			group.Go(func() error {
				i.collectStatus(ctx, m)
				return nil
			})
		}
	}
	_ = group.Wait()
	i.loads.mu.Lock()
	defer i.loads.mu.Unlock()
	if m := i.directory.Map(service); m != nil {
		result.Partitions = make([]float64, m.Partitions())
	}
	for incarnation, status := range i.loads.reports {
		if status.Service != service {
			continue
		}
		result.Members[incarnation] = planner.LoadReport{Total: status.Load, Age: time.Since(i.loads.at[incarnation])}
		for p, load := range status.PartitionLoads {
			if p < len(result.Partitions) {
				result.Partitions[p] += load
			}
		}
	}
	return result, nil
}

func (i *Instance) collectStatus(ctx context.Context, m member.Record) {
	client, err := i.dialer.Dial(m.PeerAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answer, err := client.Status(ctx, &peer.StatusRequest{})
	if err != nil {
		i.suspect(m.Incarnation)
		return
	}
	var status Status
	if json.Unmarshal(answer.GetJson(), &status) != nil || status.Incarnation != m.Incarnation {
		return
	}
	i.loads.mu.Lock()
	defer i.loads.mu.Unlock()
	if i.loads.reports == nil {
		i.loads.reports = make(map[member.Incarnation]Status)
		i.loads.at = make(map[member.Incarnation]time.Time)
	}
	i.loads.reports[m.Incarnation] = status
	i.loads.at[m.Incarnation] = time.Now()
	for old := range i.loads.reports {
		if i.directory.gone(old) {
			delete(i.loads.reports, old)
			delete(i.loads.at, old)
		}
	}
}

// settled reports whether the owner of an entry serves it, which means that it has the promises of all earlier members.
func (i *Instance) settled(_ string, p int, entry partition.Entry) bool {
	if len(entry.Members) == 0 {
		return false
	}
	i.loads.mu.Lock()
	defer i.loads.mu.Unlock()
	status, ok := i.loads.reports[entry.Members[0]]
	return ok && status.Serving[p] == entry.Epoch
}
