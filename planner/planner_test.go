package planner_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/object"
	"sapphiretray/partition"
	"sapphiretray/planner"
	"sapphiretray/table"
)

const service = "bookings"

// pipeListener is a listener for in-memory connections. Unlike network connections, idle ones let the fake clock of synctest
// advance.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "platform"} }

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// testEnv is a fake platform with its clients in a synctest bubble, and the events that the planners reported.
type testEnv struct {
	*testing.T
	platform fake.Platform
	table    *table.Client
	objects  *object.Client
	mu       sync.Mutex
	events   []planner.Event
}

// runWithPlatform runs a test in a synctest bubble with a fake platform, to which the clients have in-memory connections.
func runWithPlatform(t *testing.T, test func(env *testEnv)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		transport := &http.Transport{DialContext: listener.dial}
		env := &testEnv{
			T: t, table: table.New("http://platform", table.WithTransport(transport)),
			objects: object.New("http://platform", object.WithTransport(transport)),
		}
		server := &http.Server{Handler: env.platform.Handler()}
		var group sync.WaitGroup
		group.Go(func() { _ = server.Serve(listener) })
		defer func() {
			transport.CloseIdleConnections()
			_ = server.Close()
			group.Wait()
		}()
		test(env)
	})
}

// put writes a row of the table.
func (env *testEnv) put(key string, value any) {
	env.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		env.Fatal(err)
	}
	if _, err := env.table.Commit(env.Context(), table.Transaction{Writes: []table.Write{{Key: key, Value: encoded}}}); err != nil {
		env.Fatal(err)
	}
}

// member writes the record of the instance in slot "s-n".
func (env *testEnv) member(n int, number uint64, state member.State) {
	env.Helper()
	slot := fmt.Sprintf("s-%d", n)
	env.put(member.RowKey(slot), member.Record{
		Incarnation: member.NewIncarnation(slot, number), Service: service, State: state, Capacity: 1,
		DataCentre: fmt.Sprintf("dc%d", n%3), Region: "region",
	})
}

// members writes the records of the instances in slots "s-0" to "s-(count-1)" as ready.
func (env *testEnv) members(count int, number uint64) {
	env.Helper()
	for n := range count {
		env.member(n, number, member.Ready)
	}
}

// planner returns a planner for one service with 128 partitions.
func (env *testEnv) planner(name string, options ...planner.Option) *planner.Planner {
	return planner.New(append([]planner.Option{
		planner.WithPlatform(env.table, env.objects),
		planner.WithIncarnation(member.NewIncarnation(name, 1)),
		planner.WithServices(func(context.Context) ([]planner.Service, error) {
			return []planner.Service{{Name: service, Partitions: 128}}, nil
		}),
		planner.WithReport(func(e planner.Event) {
			env.mu.Lock()
			defer env.mu.Unlock()
			env.events = append(env.events, e)
		}),
	}, options...)...)
}

// start runs planners in the background and returns a function that stops them.
func (env *testEnv) start(planners ...*planner.Planner) func() {
	ctx, cancel := context.WithCancel(env.Context())
	var group sync.WaitGroup
	for _, p := range planners {
		group.Go(func() { _ = p.Run(ctx) })
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// load reads the service's map.
func (env *testEnv) load() *partition.Map {
	env.Helper()
	m, _, err := planner.LoadMap(env.Context(), env.table, env.objects, service)
	if err != nil {
		env.Fatal(err)
	}
	return m
}

// partitionsByOwner returns the number of partitions of each owner.
func partitionsByOwner(m *partition.Map) map[member.Incarnation]int {
	counts := make(map[member.Incarnation]int)
	for p := range m.Partitions() {
		owner, _ := m.Owner(p)
		counts[owner]++
	}
	return counts
}

// count returns the number of reported events that match.
func (env *testEnv) count(match func(planner.Event) bool) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	count := 0
	for _, e := range env.events {
		if match(e) {
			count++
		}
	}
	return count
}

// TestExpiredInstancesAreRecorded guards against instances that aren't marked as expired although their expiry is proved, and against a
// conflict on one record that keeps the others from being marked.
func TestExpiredInstancesAreRecorded(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		expired := map[string]bool{"s-1": true, "s-2": true}
		conflicted := false
		p := env.planner("a", planner.WithExpired(func(_ context.Context, record member.Record) bool {
			slot := record.Incarnation.Slot()
			if expired[slot] && slot == "s-1" && !conflicted {
				conflicted = true
				defer env.member(1, 2, member.Ready)
			}
			return expired[slot] && record.Incarnation.Number() == 1
		}))
		if err := p.Step(env.Context()); err != nil {
			t.Fatal(err)
		}
		for slot, want := range map[string]member.State{"s-1": member.Ready, "s-2": member.Expired, "s-3": member.Ready} {
			row, err := env.table.Get(env.Context(), member.RowKey(slot))
			if err != nil {
				t.Fatal(err)
			}
			var record member.Record
			if err := json.Unmarshal(row.Value, &record); err != nil || record.State != want {
				t.Errorf("%s is %s, want %s (%v)", slot, record.State, want, err)
			}
		}
	})
}

// TestBudget guards against more planned moves in a minute than the budget allows, and against a budget that isn't used up.
func TestBudget(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(3, 1)
		budget := 6
		p := env.planner("a", planner.WithSheet(func(context.Context, table.Row, string) (planner.ServiceSheet, error) {
			return planner.ServiceSheet{Budget: &budget}, nil
		}))
		defer env.start(p)()
		time.Sleep(10*time.Second + 500*time.Millisecond)
		before := partitionsByOwner(env.load())[member.NewIncarnation("s-0", 1)]
		env.member(0, 1, member.Draining)
		for minute := 1; minute <= 3; minute++ {
			time.Sleep(58 * time.Second)
			if got := before - partitionsByOwner(env.load())[member.NewIncarnation("s-0", 1)]; got != budget*minute {
				t.Errorf("minute %d: %d moves, want %d", minute, got, budget*minute)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// TestRefresh guards against a refreshed map that differs from the loaded one, also across snapshots, and against a row that grows
// beyond MaxRowMoves.
func TestRefresh(t *testing.T) {
	runWithPlatform(t, func(env *testEnv) {
		env.members(6, 1)
		budget := 1000
		p := env.planner("a", planner.WithSheet(func(context.Context, table.Row, string) (planner.ServiceSheet, error) {
			return planner.ServiceSheet{Budget: &budget}, nil
		}))
		if _, _, err := planner.LoadMap(env.Context(), env.table, env.objects, service); !errors.Is(err, planner.ErrNoMap) {
			t.Errorf("load before the first step: %v", err)
		}
		defer env.start(p)()
		time.Sleep(10 * time.Second)
		var reader *partition.Map
		snapshots := make(map[string]bool)
		for round := range 24 {
			state := member.Draining
			if round%2 == 1 {
				state = member.Ready
			}
			env.member(round/2%6, 1, state)
			time.Sleep(3 * time.Second)
			stored, err := env.table.Get(env.Context(), planner.MapKey(service))
			if err != nil {
				t.Fatal(err)
			}
			row, err := planner.DecodeMapRow(stored.Value)
			if err != nil {
				t.Fatal(err)
			}
			moves := 0
			for _, b := range row.Batches {
				moves += len(b.Moves)
			}
			if moves > planner.MaxRowMoves {
				t.Errorf("the row lists %d moves", moves)
			}
			snapshots[row.Snapshot] = true
			if reader, _, err = planner.RefreshMap(env.Context(), env.table, env.objects, service, reader); err != nil {
				t.Fatal(err)
			}
			a, b := env.load(), reader
			for part := range a.Partitions() {
				if fmt.Sprint(a.Entry(part)) != fmt.Sprint(b.Entry(part)) {
					t.Fatalf("round %d, partition %d: %v loaded, %v refreshed", round, part, a.Entry(part), b.Entry(part))
				}
			}
		}
		if len(snapshots) < 2 {
			t.Errorf("snapshots %v, want several", snapshots)
		}
	})
}
