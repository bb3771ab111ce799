package caller

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
)

// post returns a request that runs at most once.
func post(id, token string) testRequest {
	return testRequest{method: http.MethodPost, path: "/once/k", id: id, token: token, body: "charge"}
}

// effects returns how often a request id took effect at the upstreams.
func (c *testCluster) effects(id string) int {
	n := 0
	for _, i := range c.instances {
		for _, e := range i.upstream.Effects() {
			if e.ID == id {
				n++
			}
		}
	}
	return n
}

// handOver moves all partitions together with their request ids, as a planned move does.
func (c *testCluster) handOver(t *testing.T, from, to *testInstance) {
	t.Helper()
	epoch := c.assign(t, to, from)
	from.disown(code.Moved)
	from.admissions.Wait()
	for p := range c.current.Partitions() {
		to.server.Dedup().Import(p, epoch, from.self, from.server.Dedup().Export(p))
	}
	from.disown(code.NotOwner)
	to.own(epoch)
}

// takeOver moves all partitions without their request ids, as after the failure of the owner.
func (c *testCluster) takeOver(t *testing.T, from, to *testInstance) {
	t.Helper()
	from.loseLease()
	to.own(c.assign(t, to, from))
}

// TestCallerRetry guards against a request that runs again when its caller retries it, also after a change of the owner.
func TestCallerRetry(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		change func(*testing.T, *testCluster)
		status int
		code   code.Code
		ran    code.Ran
	}{
		{"same owner", "/once/k", nil, 200, code.OK, code.RanYes},
		{"same owner, large response", "/once/k?bytes=5000", nil, 409, code.AlreadyRun, code.RanYes},
		{"handover", "/once/k", func(t *testing.T, c *testCluster) {
			t.Helper()
			c.handOver(t, c.instances[0], c.instances[1])
		}, 200, code.OK, code.RanYes},
		{"handover, large response", "/once/k?bytes=5000", func(t *testing.T, c *testCluster) {
			t.Helper()
			c.handOver(t, c.instances[0], c.instances[1])
		}, 409, code.AlreadyRun, code.RanYes},
		{"handover there and back", "/once/k", func(t *testing.T, c *testCluster) {
			t.Helper()
			c.handOver(t, c.instances[0], c.instances[1])
			c.handOver(t, c.instances[1], c.instances[0])
		}, 200, code.OK, code.RanYes},
		{"unplanned change", "/once/k", func(t *testing.T, c *testCluster) {
			t.Helper()
			c.takeOver(t, c.instances[0], c.instances[1])
		}, 409, code.TokenTooOld, code.RanUnknown},
		{"unplanned change there and back", "/once/k", func(t *testing.T, c *testCluster) {
			t.Helper()
			c.takeOver(t, c.instances[0], c.instances[1])
			c.takeOver(t, c.instances[1], c.instances[0])
		}, 200, code.OK, code.RanYes},
		{"handover, then unplanned change", "/once/k", func(t *testing.T, c *testCluster) {
			t.Helper()
			c.handOver(t, c.instances[0], c.instances[1])
			c.takeOver(t, c.instances[1], c.instances[2])
		}, 409, code.TokenTooOld, code.RanUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, testSettings{})
			request := post("x", c.instances[2].token(t, "k"))
			request.path = test.path
			first := c.instances[2].send(t.Context(), request)
			if first.code != code.OK || c.effects("x") != 1 {
				t.Fatalf("first: %+v", first)
			}
			if test.change != nil {
				test.change(t, c)
			}
			again := c.instances[2].send(t.Context(), request)
			if again.status != test.status || again.code != test.code || again.ran != test.ran {
				t.Fatalf("again: %+v", again)
			}
			if again.code == code.OK && again.body != first.body {
				t.Fatalf("response %q, then %q", first.body, again.body)
			}
			if n := c.effects("x"); n != 1 {
				t.Fatalf("ran %d times", n)
			}
		})
	}
}

// TestCallerRetryInFlight guards against a retry that runs while the first attempt is running.
func TestCallerRetryInFlight(t *testing.T) {
	c := newCluster(t, 2, testSettings{upstream: []fake.UpstreamOption{fake.WithServiceTime(50 * time.Millisecond)}})
	token := c.instances[1].token(t, "k")
	var group sync.WaitGroup
	responses := make([]testResponse, 4)
	for n := range responses {
		group.Go(func() { responses[n] = c.instances[n%2].send(t.Context(), post("x", token)) })
	}
	group.Wait()
	for _, a := range responses {
		if a.code != code.OK || a.decode(t).Count != 1 {
			t.Fatalf("%+v", a)
		}
	}
	if n := c.effects("x"); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

// TestCallerRetryAfterNotRun guards against a request that can't be retried although its first attempt did not run.
func TestCallerRetryAfterNotRun(t *testing.T) {
	c := newCluster(t, 1, testSettings{options: []Option{WithHold(50 * time.Millisecond)}})
	i := c.instances[0]
	token := i.token(t, "k")
	i.upstream.SetFault(fake.UpstreamFault{Fault: fake.Fault{Mode: fake.Refuse, DelayMS: 300}})
	if a := i.send(t.Context(), post("x", token)); a.code != code.UpstreamRefused || a.ran != code.RanNo {
		t.Fatalf("refused: %+v", a)
	}
	time.Sleep(400 * time.Millisecond)
	if a := i.send(t.Context(), post("x", token)); a.code != code.OK || c.effects("x") != 1 {
		t.Fatalf("again: %+v, ran %d times", a, c.effects("x"))
	}
}
