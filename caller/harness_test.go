package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
	"sapphiretray/member"
	"sapphiretray/partition"
	"sapphiretray/upstream"
)

const testService = "bookings"

// testRoute is the route of /<kind>/<key>. Requests of kind "once" run at most once, those of kind "read" are idempotent, "plain"
// is neither, and "tiny" is "read" with a body of at most 8 bytes.
type testRoute struct {
	kind    string
	timeout time.Duration
}

func (r testRoute) Service() string { return testService }

func (r testRoute) Key(req *http.Request) (string, bool) {
	_, key, ok := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	return key, ok && key != ""
}

func (r testRoute) Importance() int        { return 5 }
func (r testRoute) Timeout() time.Duration { return r.timeout }
func (r testRoute) Idempotent() bool       { return r.kind == "read" || r.kind == "tiny" }
func (r testRoute) Once() bool             { return r.kind == "once" }

func (r testRoute) MaxBodyBytes() int64 {
	if r.kind == "tiny" {
		return 8
	}
	return 0
}

// testRoutes matches the kinds of testRoute.
type testRoutes struct {
	timeout time.Duration
	// empty is set while the configuration has no routes; nil means that it always has them.
	empty *atomic.Bool
}

func (t testRoutes) Match(path, _ string) (Route, bool) {
	if t.empty != nil && t.empty.Load() {
		return nil, false
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	switch kind {
	case "once", "plain", "read", "tiny":
		return testRoute{kind: kind, timeout: t.timeout}, true
	}
	return nil, false
}

func (testRoutes) Outdated() bool { return false }

// testCluster is a set of instances that share one partition map. It replaces the packages that decide on ownership.
type testCluster struct {
	mu                 sync.Mutex
	current            *partition.Map
	records            map[member.Incarnation]member.Record
	unreachableReports map[member.Incarnation]int // Number of calls of ReportUnreachable.
	instances          []*testInstance
}

// testInstance is one instance with its upstream.
type testInstance struct {
	// noRoutes is set while the instance's configuration has no routes.
	noRoutes atomic.Bool
	cluster  *testCluster
	self     member.Incarnation
	server   *Server
	upstream *fake.Upstream
	client   *upstream.Client
	http     *http.Server
	peers    *fake.Listener
	url      string

	mu          sync.Mutex
	owns        bool
	refusal     code.Code // The code of Admit's error while owns is false.
	fence       uint64
	epoch       uint64
	since       time.Time
	leaseLosses int
	admissions  sync.WaitGroup // Admissions that aren't done.
	// onAdmit is called at the start of each call of Admit unless it is nil.
	onAdmit func(partition int)
}

// testAdmission is valid until the instance loses its lease.
type testAdmission struct {
	instance    *testInstance
	fence       uint64
	epoch       uint64
	since       time.Time
	leaseLosses int
}

func (a *testAdmission) Fence() uint64         { return a.fence }
func (a *testAdmission) Epoch() uint64         { return a.epoch }
func (a *testAdmission) OwnedSince() time.Time { return a.since }
func (a *testAdmission) Expires() time.Time    { return time.Now().Add(time.Second) }
func (a *testAdmission) Done()                 { a.instance.admissions.Done() }

func (a *testAdmission) Valid() bool {
	a.instance.mu.Lock()
	defer a.instance.mu.Unlock()
	return a.instance.leaseLosses == a.leaseLosses
}

func (i *testInstance) Admit(p int) (Admission, error) {
	if i.onAdmit != nil {
		i.onAdmit(p)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.owns {
		return nil, code.New(i.refusal, "test")
	}
	i.admissions.Add(1)
	return &testAdmission{instance: i, fence: i.fence, epoch: i.epoch, since: i.since, leaseLosses: i.leaseLosses}, nil
}

// own starts an ownership of all partitions under an epoch.
func (i *testInstance) own(epoch uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.owns, i.epoch, i.fence, i.since = true, epoch, epoch<<8, time.Now()
}

// disown ends the ownership; later requests are refused with the code.
func (i *testInstance) disown(c code.Code) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.owns, i.refusal = false, c
}

// loseLease ends the ownership and invalidates the admissions that are in use.
func (i *testInstance) loseLease() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.owns, i.refusal, i.leaseLosses = false, code.NotOwner, i.leaseLosses+1
}

func (i *testInstance) Self() member.Incarnation { return i.self }
func (i *testInstance) Service() string          { return testService }
func (i *testInstance) Refresh(string, uint64)   {}
func (i *testInstance) ReportUnreachable(other member.Incarnation) {
	i.cluster.reportUnreachable(other)
}

func (i *testInstance) Map(service string) *partition.Map {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	if service != testService {
		return nil
	}
	return i.cluster.current
}

func (i *testInstance) Record(other member.Incarnation) (member.Record, bool) {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	r, ok := i.cluster.records[other]
	return r, ok
}

func (c *testCluster) reportUnreachable(i member.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableReports[i]++
}

// assign creates a map in which all partitions have the first partition.MaxMembers instances as members, the owner first, and returns
// the new epoch.
func (c *testCluster) assign(t *testing.T, instances ...*testInstance) uint64 {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []member.Incarnation
	for _, i := range instances[:min(len(instances), partition.MaxMembers)] {
		members = append(members, i.self)
	}
	var moves []partition.Move
	epoch := c.current.Epoch(0) + 1
	for p := range c.current.Partitions() {
		moves = append(moves, partition.Move{Partition: p, Entry: partition.Entry{Epoch: epoch, Members: members}})
	}
	next, err := c.current.Apply(c.current.Version()+1, moves)
	if err != nil {
		t.Fatal(err)
	}
	c.current = next
	return epoch
}

// testSettings configure the instances of a testCluster.
type testSettings struct {
	timeout  time.Duration // The timeout of all routes; 0 means 5 s.
	options  []Option
	upstream []fake.UpstreamOption
}

// newCluster starts n instances; the first owns all partitions.
func newCluster(t *testing.T, n int, settings testSettings) *testCluster {
	t.Helper()
	m, err := partition.New(testService, 4)
	if err != nil {
		t.Fatal(err)
	}
	c := &testCluster{
		current: m, records: make(map[member.Incarnation]member.Record), unreachableReports: make(map[member.Incarnation]int),
	}
	for number := range n {
		c.instances = append(c.instances, c.start(t, string(rune('a'+number)), settings))
	}
	c.instances[0].own(c.assign(t, c.instances...))
	return c
}

// start starts an instance and its upstream. All instances share their suspected and quarantined fingerprints.
func (c *testCluster) start(t *testing.T, slot string, settings testSettings) *testInstance {
	t.Helper()
	i := &testInstance{cluster: c, self: member.NewIncarnation(slot, 1), refusal: code.NotOwner}
	i.upstream = fake.NewUpstream(settings.upstream...)
	listener := listen(t)
	var group sync.WaitGroup
	group.Go(func() { _ = i.upstream.Serve(listener) })
	i.client = upstream.New(listener.Addr().String())
	// Wait until the upstream accepts connections, as some faults act on its listener.
	for _, err := i.client.Probe(t.Context()); err != nil; _, err = i.client.Probe(t.Context()) {
		t.Log(err)
	}
	timeout := settings.timeout
	if timeout == 0 {
		timeout = 5 * time.Second
	}
	quarantine := NewQuarantine(WithOnQuarantineChange(func(suspects, quarantined []uint64) {
		for _, other := range c.instances {
			other.server.Quarantine().AddSuspects(suspects, time.Minute)
			other.server.Quarantine().Add(quarantined, time.Minute)
		}
	}))
	options := append([]Option{WithQuarantine(quarantine)}, settings.options...)
	i.server = New(i, i, testRoutes{timeout: timeout, empty: &i.noRoutes}, i.client, options...)
	public, private := listen(t), fake.NewListener(listen(t))
	i.peers = private
	i.url = "http://" + public.Addr().String()
	i.http = NewHTTPServer(i.server.Handler())
	peers := NewHTTPServer(i.server.PeerHandler())
	group.Go(func() { _ = i.http.Serve(public) })
	group.Go(func() { _ = peers.Serve(private) })
	t.Cleanup(func() {
		_, _ = i.http.Close(), peers.Close()
		i.client.Close()
		i.upstream.Close()
		group.Wait()
	})
	c.records[i.self] = member.Record{Incarnation: i.self, Service: testService, PeerAddress: private.Addr().String()}
	return i
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// testResponse holds the parts of a response that tests check.
type testResponse struct {
	status int
	code   code.Code
	ran    code.Ran
	id     string
	token  string
	body   string
	err    error
}

func (r testResponse) String() string {
	return fmt.Sprintf("%d, %s, ran %s, id %q, token %q, %v: %.200q", r.status, r.code, r.ran, r.id, r.token, r.err, r.body)
}

func (r testResponse) decode(t *testing.T) fake.Response {
	t.Helper()
	var decoded fake.Response
	if err := json.Unmarshal([]byte(r.body), &decoded); err != nil {
		t.Fatalf("%q: %v", r.body, err)
	}
	return decoded
}

// testRequest is a request that a test sends.
type testRequest struct {
	method, path, id, token, body string
	header                        map[string]string
}

// send sends a request as a caller of the instance.
func (i *testInstance) send(ctx context.Context, s testRequest) testResponse {
	req, err := http.NewRequestWithContext(ctx, s.method, i.url+s.path, strings.NewReader(s.body))
	if err != nil {
		return testResponse{err: err}
	}
	for name, value := range s.header {
		req.Header.Set(name, value)
	}
	if s.id != "" {
		req.Header.Set(HeaderRequestID, s.id)
	}
	if s.token != "" {
		req.Header.Set(HeaderToken, s.token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	var number int
	_ = json.Unmarshal([]byte(resp.Header.Get(HeaderCode)), &number)
	return testResponse{
		status: resp.StatusCode, code: code.Code(number), ran: code.Ran(resp.Header.Get(HeaderRan)),
		id: resp.Header.Get(HeaderRequestID), token: resp.Header.Get(HeaderToken), body: string(body), err: err,
	}
}

// token gets a new token for a key by a request without one.
func (i *testInstance) token(t *testing.T, key string) string {
	t.Helper()
	a := i.send(t.Context(), testRequest{method: http.MethodPost, path: "/once/" + key})
	if a.code != code.TokenNeeded || a.token == "" || a.ran != code.RanNo {
		t.Fatalf("first request: %+v", a)
	}
	return a.token
}
