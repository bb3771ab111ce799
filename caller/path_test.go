package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/fake"
)

// TestPath guards against requests that don't reach the owner's upstream, and responses with a wrong status, code or request id.
func TestPath(t *testing.T) {
	c := newCluster(t, 3, testSettings{})
	owner, other := c.instances[0], c.instances[1]
	tests := []struct {
		name   string
		at     *testInstance
		send   testRequest
		status int
		code   code.Code
	}{
		{"local", owner, testRequest{method: "GET", path: "/read/k", id: "x"}, 200, code.OK},
		{"one hop", other, testRequest{method: "GET", path: "/read/k", id: "x"}, 200, code.OK},
		{"post one hop", other, testRequest{method: "POST", path: "/plain/k", id: "x", body: "b"}, 200, code.OK},
		{
			"large post one hop", other,
			testRequest{method: "POST", path: "/plain/k", id: "x", body: strings.Repeat("b", 1<<20)},
			200, code.OK,
		},
		{"no route", other, testRequest{method: "GET", path: "/none/k", id: "x"}, 404, code.NoRoute},
		{"no key", other, testRequest{method: "GET", path: "/read/", id: "x"}, 400, code.NoKey},
		{"too large", other, testRequest{method: "PUT", path: "/tiny/k", id: "x", body: "123456789"}, 413, code.TooLarge},
		{"token needed", other, testRequest{method: "POST", path: "/once/k", id: "x"}, 428, code.TokenNeeded},
		{
			"bad deadline", other,
			testRequest{method: "GET", path: "/read/k", id: "x", header: map[string]string{HeaderDeadline: "soon"}},
			400, code.BadRequest,
		},
		{
			"forwarded header of a caller is ignored", other,
			testRequest{method: "GET", path: "/read/k", id: "x", header: map[string]string{HeaderForwarded: "1"}},
			200, code.OK,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := test.at.send(t.Context(), test.send)
			if a.err != nil || a.status != test.status || a.code != test.code || a.id != "x" || a.ran != test.code.Entry().Ran() {
				t.Fatalf("%+v", a)
			}
		})
	}
	if a := other.send(t.Context(), testRequest{method: "GET", path: "/read/k"}); len(a.id) != 26 {
		t.Fatalf("generated id %q", a.id)
	}
	bad := testRequest{method: "GET", path: "/read/k", id: strings.Repeat("i", 65)}
	if a := other.send(t.Context(), bad); a.code != code.BadID {
		t.Fatalf("long id: %+v", a)
	}
}

// TestStreaming guards against incomplete bodies, and against truncated responses that appear complete to the caller.
func TestStreaming(t *testing.T) {
	c := newCluster(t, 2, testSettings{})
	upload := string(fake.Payload(3 << 20))
	for name, i := range map[string]*testInstance{"local": c.instances[0], "one hop": c.instances[1]} {
		a := i.send(t.Context(), testRequest{method: http.MethodPost, path: "/plain/k?echo=1", body: upload})
		if a.err != nil || a.body != upload {
			t.Fatalf("%s: %d of %d bytes, %v", name, len(a.body), len(upload), a.err)
		}
		for _, mode := range []fake.Mode{fake.Truncate, fake.CloseMidway} {
			c.instances[0].upstream.SetFault(fake.UpstreamFault{Fault: fake.Fault{Mode: mode, Count: 1}})
			a = i.send(t.Context(), testRequest{method: http.MethodGet, path: "/read/k?bytes=1000000"})
			if a.err == nil || a.status != http.StatusOK {
				t.Fatalf("%s, %s: no error after %d bytes, status %d", name, mode, len(a.body), a.status)
			}
		}
		c.instances[0].upstream.SetFault(fake.UpstreamFault{Fault: fake.Fault{Mode: fake.CloseMidway, Count: 1}})
		a = i.send(t.Context(), testRequest{method: http.MethodGet, path: "/read/k?bytes=1000000&chunked=1"})
		if a.err == nil || a.status != http.StatusOK {
			t.Fatalf("%s, without a length: no error after %d bytes, status %d", name, len(a.body), a.status)
		}
	}
}

// TestLeaseLostInDownload guards against a response that is delivered to its end although the lease has expired meanwhile.
func TestLeaseLostInDownload(t *testing.T) {
	c := newCluster(t, 2, testSettings{})
	reader, writer := io.Pipe()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.instances[1].url+"/plain/k?echo=1", reader)
	if err != nil {
		t.Fatal(err)
	}
	part := fake.Payload(MaxReplayableBody * 2)
	var group sync.WaitGroup
	group.Go(func() { _, _ = writer.Write(part) })
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(resp.Body, part); err != nil {
		t.Fatal(err)
	}
	c.instances[0].loseLease()
	group.Go(func() {
		_, _ = writer.Write(part)
		_ = writer.Close()
	})
	if n, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Errorf("response ended without an error after %d more bytes", n)
	}
	_ = resp.Body.Close()
	group.Wait()
}

// TestOwnerLacksRoute guards against a 404 for a route that exists because it hasn't reached the instance of the owner yet. Callers don't
// retry a 404.
func TestOwnerLacksRoute(t *testing.T) {
	c := newCluster(t, 2, testSettings{})
	owner, other := c.instances[0], c.instances[1]
	owner.noRoutes.Store(true)
	time.AfterFunc(300*time.Millisecond, func() { owner.noRoutes.Store(false) })
	if a := other.send(t.Context(), testRequest{method: "GET", path: "/read/k", id: "x"}); a.code != code.OK {
		t.Errorf("%v, want a success once the owner has the route", a)
	}
	owner.noRoutes.Store(true)
	if a := other.send(t.Context(), testRequest{method: "GET", path: "/read/k", id: "x"}); a.code != code.ConfigOutdated {
		t.Errorf("%v, want %v while the owner lacks the route", a, code.ConfigOutdated)
	}
}
