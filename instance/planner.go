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
	// candidatePollInterval is the time between two checks whether this instance is a candidate for running the planner.
	candidatePollInterval = time.Second
	// statusTimeout bounds asking a member for its status, and asking the witnesses of a suspected member.
	statusTimeout = 300 * time.Millisecond
	// maxStatusCalls bounds the concurrent calls for the status of members.
	maxStatusCalls = 32
)

// runPlanner makes this instance a candidate for running the planner while it is ready, has a valid lease and is one of the
// readers of the table. More candidates would only add reads.
func (i *Instance) runPlanner(ctx context.Context, s *session) error {
	p := planner.New(
		planner.WithPlatform(i.table, i.objects),
		planner.WithIncarnation(s.self),
		planner.WithServices(i.plannedServices),
		planner.WithLoads(i.collectLoads),
		planner.WithExpired(i.provedExpired),
		planner.WithSettled(i.settled),
		planner.WithReport(i.recordPlannerEvent),
		planner.WithSheet(i.sheetCache.plannerSheet),
	)
	for ctx.Err() == nil {
		if !i.isReader() || !s.lease().Valid() || s.state() != member.Ready {
			wait.For(ctx, candidatePollInterval)
			continue
		}
		candidate, cancel := context.WithCancel(ctx)
		group, candidate := errgroup.WithContext(candidate)
		group.Go(func() error { return p.Run(candidate) })
		group.Go(func() error {
			for candidate.Err() == nil && i.isReader() && s.lease().Valid() && s.state() == member.Ready {
				wait.For(candidate, candidatePollInterval)
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

// state returns the state in the record of the incarnation.
func (s *session) state() member.State {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	return s.record.State
}

// plannedServices returns the services of the configuration in effect.
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

// provedExpired asks the witnesses of a suspected member whether its lease has expired and can't be re-acquired. It makes no calls
// for members that aren't suspected.
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

// recordPlannerEvent records a planner event in the log and makes pollTable read the map that the planner may
// have written.
func (i *Instance) recordPlannerEvent(e planner.Event) {
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
	case i.pollNow <- struct{}{}:
	default:
	}
}

// statusCache holds the newest status of each member, as collected by the planner.
type statusCache struct {
	mu         sync.Mutex
	statuses   map[member.Incarnation]Status
	receivedAt map[member.Incarnation]time.Time
}

// collectLoads asks the members of a service for their status and returns their loads. Members that don't respond are included
// with their last known status. Loads by partition are 0, because instances don't report them yet.
func (i *Instance) collectLoads(ctx context.Context, service string) (planner.Loads, error) {
	result := planner.Loads{Members: make(map[member.Incarnation]planner.LoadReport)}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxStatusCalls)
	for _, m := range i.directory.all() {
		if m.Service == service && !m.State.Ended() {
			group.Go(func() error {
				i.collectStatus(ctx, m)
				return nil
			})
		}
	}
	_ = group.Wait()
	i.statusCache.mu.Lock()
	defer i.statusCache.mu.Unlock()
	if m := i.directory.Map(service); m != nil {
		result.Partitions = make([]float64, m.Partitions())
	}
	for incarnation, status := range i.statusCache.statuses {
		if status.Service != service {
			continue
		}
		result.Members[incarnation] = planner.LoadReport{Total: status.Load, Age: time.Since(i.statusCache.receivedAt[incarnation])}
		for p, load := range status.PartitionLoads {
			if p < len(result.Partitions) {
				result.Partitions[p] += load
			}
		}
	}
	return result, nil
}

// collectStatus asks a member for its status and stores it in the cache. A member that doesn't respond is suspected.
func (i *Instance) collectStatus(ctx context.Context, m member.Record) {
	client, err := i.dialer.Dial(m.PeerAddress)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	response, err := client.Status(ctx, &peer.StatusRequest{})
	if err != nil {
		i.suspect(m.Incarnation)
		return
	}
	var status Status
	if json.Unmarshal(response.GetJson(), &status) != nil || status.Incarnation != m.Incarnation {
		return
	}
	i.statusCache.mu.Lock()
	defer i.statusCache.mu.Unlock()
	if i.statusCache.statuses == nil {
		i.statusCache.statuses = make(map[member.Incarnation]Status)
		i.statusCache.receivedAt = make(map[member.Incarnation]time.Time)
	}
	i.statusCache.statuses[m.Incarnation] = status
	i.statusCache.receivedAt[m.Incarnation] = time.Now()
	for old := range i.statusCache.statuses {
		if i.directory.ended(old) {
			delete(i.statusCache.statuses, old)
			delete(i.statusCache.receivedAt, old)
		}
	}
}

// settled reports whether the owner of a map entry has reported that it serves the partition, which it does only with the
// promises of all earlier members.
func (i *Instance) settled(_ string, p int, entry partition.Entry) bool {
	if len(entry.Members) == 0 {
		return false
	}
	i.statusCache.mu.Lock()
	defer i.statusCache.mu.Unlock()
	status, ok := i.statusCache.statuses[entry.Members[0]]
	return ok && status.Serving[p] == entry.Epoch
}
