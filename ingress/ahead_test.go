package ingress_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/ingress"
	"sapphiretray/wait"
)

var (
	aheadSeed  = flag.Uint64("ingress.seed", 1, "first seed of TestPipelineModel")
	aheadSeeds = flag.Int("ingress.seeds", 40, "number of seeds of TestPipelineModel")
)

// getsRunAhead is a policy by which GET requests may begin before their turn.
type getsRunAhead struct{}

func (getsRunAhead) MayRunAhead(r *http.Request) bool { return r.Method == http.MethodGet }

// pipelineRun is what the handler of a pipeline has seen of one request.
type pipelineRun struct {
	begins, ends time.Duration
	times        int
	cancelled    bool
}

// pipelineHandler serves requests whose path is /NUMBER/DURATION/SIZE. It takes the duration, and responds with the number and a body of
// the given size.
type pipelineHandler struct {
	started time.Time
	mu      sync.Mutex
	runs    map[string]*pipelineRun
	running int
	most    int
}

func newPipelineHandler() *pipelineHandler {
	return &pipelineHandler{started: time.Now(), runs: make(map[string]*pipelineRun)}
}

func (h *pipelineHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(r.URL.Path, "/")
	h.mu.Lock()
	run := h.runs[parts[1]]
	if run == nil {
		run = &pipelineRun{begins: time.Since(h.started)}
		h.runs[parts[1]] = run
	}
	run.times++
	h.running++
	h.most = max(h.most, h.running)
	h.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	took, _ := time.ParseDuration(parts[2])
	completed := wait.For(r.Context(), took)
	h.mu.Lock()
	h.running--
	run.ends, run.cancelled = time.Since(h.started), !completed
	h.mu.Unlock()
	var size int
	_, _ = fmt.Sscan(parts[3], &size)
	w.Header().Set("Number", parts[1])
	_, _ = w.Write([]byte(strings.Repeat("x", size)))
}

func (h *pipelineHandler) run(number int) pipelineRun {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.runs[fmt.Sprint(number)]; r != nil {
		return *r
	}
	return pipelineRun{}
}

// pipelined returns a request to a pipelineHandler. The body is chunked if chunked is set.
func pipelined(method string, number int, took time.Duration, size int, body string, chunked bool) string {
	head := fmt.Sprintf("%s /%d/%v/%d HTTP/1.1\r\nHost: a\r\n", method, number, took, size)
	switch {
	case chunked:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case body != "":
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		return head + "\r\n"
	}
}

// TestRequestsBehindOthers guards against requests that wait until those in front of them on their connection have been answered, though
// they may be repeated, and against others that don't wait.
func TestRequestsBehindOthers(t *testing.T) {
	const took = 50 * time.Millisecond
	get := func(n int) string { return pipelined(http.MethodGet, n, took, 10, "", false) }
	var sixteen []string
	for n := range 16 {
		sixteen = append(sixteen, get(n+1))
	}
	tests := []struct {
		name     string
		requests []string
		// ends is when the last response is complete.
		ends time.Duration
	}{
		{"1", []string{get(1)}, took},
		{"4", []string{get(1), get(2), get(3), get(4)}, took},
		{"16", sixteen, took},
		{"a request that can't be repeated", []string{get(1), pipelined(http.MethodPost, 2, took, 10, "", false), get(3)}, 2 * took},
		{"a body", []string{get(1), pipelined(http.MethodPost, 2, took, 10, "body", false), get(3), get(4)}, 2 * took},
		{"a body in front", []string{pipelined(http.MethodPost, 1, took, 10, "body", false), get(2), get(3)}, took},
		{"a chunked body", []string{get(1), pipelined(http.MethodPost, 2, took, 10, "body", true), get(3), get(4)}, 2 * took},
		{"a chunked body in front", []string{pipelined(http.MethodPost, 1, took, 10, "body", true), get(2), get(3)}, took},
		{"a body of a request that may be repeated", []string{get(1), pipelined(http.MethodGet, 2, took, 10, "body", false)}, 2 * took},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				_, far := connectTo(t, noLimits, newPipelineHandler(), getsRunAhead{})
				var writing sync.WaitGroup
				writing.Go(func() { _, _ = io.WriteString(far, strings.Join(test.requests, "")) })
				started, reader := time.Now(), bufio.NewReader(far)
				for n := range test.requests {
					if got, _ := readNumber(t, reader); got != fmt.Sprint(n+1) {
						t.Fatalf("response %d is that of request %q", n+1, got)
					}
				}
				if ends := time.Since(started); ends != test.ends {
					t.Errorf("the last response took %v, want %v", ends, test.ends)
				}
				writing.Wait()
			})
		})
	}
}

// readNumber returns the number and the size of the next response, and an empty number if there is none.
func readNumber(t *testing.T, reader *bufio.Reader) (number string, size int) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", 0
	}
	return response.Header.Get("Number"), len(body)
}

// TestCallerLeavesPipeline guards against work for requests behind others whose caller has closed the connection: their number doesn't hide
// that it has.
func TestCallerLeavesPipeline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		handler := newPipelineHandler()
		_, far := connectTo(t, noLimits, handler, getsRunAhead{})
		for n := range 3 {
			_, _ = io.WriteString(far, pipelined(http.MethodGet, n, 10*time.Second, 10, "", false))
		}
		_, _ = io.WriteString(far, pipelined(http.MethodPost, 3, time.Second, 10, "", false))
		time.Sleep(time.Second)
		_ = far.Close()
		synctest.Wait()
		for n := range 3 {
			if run := handler.run(n); run.times != 1 || !run.cancelled || run.ends != time.Second {
				t.Errorf("request %d: %+v, want it cancelled after a second", n, run)
			}
		}
		if run := handler.run(3); run.times != 0 {
			t.Errorf("the request behind them ran: %+v", run)
		}
	})
}

// TestPipelineBounds guards against a caller that makes the process hold any number of requests and responses by not reading them.
func TestPipelineBounds(t *testing.T) {
	const (
		requests = 400
		ahead    = 16
	)
	bubble.Test(t, func(t *testing.T) {
		handler := newPipelineHandler()
		_, far := connectTo(t, noLimits, handler, getsRunAhead{})
		var writing sync.WaitGroup
		writing.Go(func() {
			for n := range requests {
				_, _ = io.WriteString(far, pipelined(http.MethodGet, n, 0, 100_000, "", false))
			}
		})
		time.Sleep(time.Minute)
		handler.mu.Lock()
		// The one in turn, and 1 MiB of responses or 16 requests behind it.
		if begun := len(handler.runs); begun > 1+ahead {
			t.Errorf("%d requests have run and none has been read", begun)
		}
		handler.mu.Unlock()
		reader := bufio.NewReader(far)
		for n := range requests {
			if number, size := readNumber(t, reader); number != fmt.Sprint(n) || size != 100_000 {
				t.Fatalf("response %d: number %q, %d bytes", n, number, size)
			}
		}
		writing.Wait()
	})
}

// TestDeadlineBehindOthers guards against a request that can't be repeated and gets a whole timeout once it is its turn: its caller has
// waited since the request arrived.
func TestDeadlineBehindOthers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		d := newDeployment("a", map[string][]outcome{"a": {{status: 200, run: func() { time.Sleep(timeout * 4 / 5) }}, {endless: true}}})
		server := newServer(t, d, table(t))
		_, far := connectTo(t, noLimits, server, server)
		started, reader := time.Now(), bufio.NewReader(far)
		for _, path := range []string{"/plain/", "/plain-once/"} {
			_, _ = fmt.Fprintf(far, "GET %s HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", path, path)
		}
		for _, want := range []struct {
			status int
			ends   time.Duration
		}{{200, timeout * 4 / 5}, {502, timeout}} {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if ends := time.Since(started); response.StatusCode != want.status || ends != want.ends {
				t.Errorf("status %d after %v, want %d after %v", response.StatusCode, ends, want.status, want.ends)
			}
		}
	})
}

// modelRequest is a request of the model.
type modelRequest struct {
	text string
	safe bool
	size int
	// ends is set if its head asks to close the connection.
	ends bool
}

// TestPipelineModel plays random pipelines of requests of all kinds, written in random parts, with callers that read slowly or leave. It
// guards against a response that belongs to another request or comes out of order, a request that runs twice, one that can't be repeated
// and runs before its turn, and work that goes on after the caller has left.
func TestPipelineModel(t *testing.T) {
	for seed := *aheadSeed; seed < *aheadSeed+uint64(*aheadSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { playPipeline(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// drawPipeline returns the requests of a pipeline.
func drawPipeline(random *rand.Rand) []modelRequest {
	var requests []modelRequest
	for n := range 1 + random.IntN(40) {
		took := time.Duration(random.IntN(200)) * time.Millisecond
		r := modelRequest{size: random.IntN(3000), safe: random.IntN(4) > 0}
		if random.IntN(10) == 0 {
			r.size = random.IntN(400_000)
		}
		method, body, chunked := http.MethodGet, "", false
		if !r.safe {
			method, body = http.MethodPost, strings.Repeat("GET / HTTP/1.1\r\n\r\n", random.IntN(400))
			chunked = random.IntN(5) == 0
		}
		r.text = pipelined(method, n, took, r.size, body, chunked)
		if r.ends = random.IntN(60) == 0; r.ends {
			r.text = strings.Replace(r.text, "Host: a\r\n", "Host: a\r\nConnection: close\r\n", 1)
		}
		requests = append(requests, r)
	}
	return requests
}

// writeParts writes a text in random parts.
func writeParts(random *rand.Rand, conn net.Conn, text string) {
	for len(text) > 0 {
		n := min(len(text), 1+random.IntN(1+random.IntN(6000)))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		if random.IntN(3) == 0 {
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		}
	}
}

func playPipeline(t *testing.T, random *rand.Rand) {
	t.Helper()
	requests := drawPipeline(random)
	handler := newPipelineHandler()
	_, far := connectTo(t, noLimits, handler, getsRunAhead{})
	var text strings.Builder
	for _, r := range requests {
		text.WriteString(r.text)
	}
	sent := text.Len()
	leaves := random.IntN(3) == 0
	if leaves {
		sent = random.IntN(sent)
	}
	writes := rand.New(rand.NewPCG(random.Uint64(), 2))
	leavesAfter := time.Duration(random.IntN(2000)) * time.Millisecond
	slow := random.IntN(2) == 0
	var caller sync.WaitGroup
	caller.Go(func() { writeParts(writes, far, text.String()[:sent]) })
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if leaves {
		caller.Go(func() {
			wait.For(ctx, leavesAfter)
			_ = far.Close()
		})
	}
	var answered []time.Duration
	reader := bufio.NewReader(far)
	for n, r := range requests {
		if slow {
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		number, size := readNumber(t, reader)
		if number == "" {
			if !leaves {
				t.Errorf("no response %d of %d", n, len(requests))
			}
			break
		}
		if number != fmt.Sprint(n) || size != r.size {
			t.Fatalf("response %d has number %s and %d bytes, want %d", n, number, size, r.size)
		}
		answered = append(answered, time.Since(handler.started))
		if r.ends {
			break
		}
	}
	_ = far.Close()
	caller.Wait()
	cancel()
	checkPipeline(t, handler, requests, answered)
}

// checkPipeline checks what ran, after the caller has closed the connection.
func checkPipeline(t *testing.T, handler *pipelineHandler, requests []modelRequest, answered []time.Duration) {
	t.Helper()
	closed := time.Since(handler.started)
	time.Sleep(time.Second)
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if handler.running > 0 || handler.most > 17 {
		t.Errorf("%d requests still run, %d ran at once", handler.running, handler.most)
	}
	ended := time.Duration(0)
	for n, r := range requests {
		run := handler.runs[fmt.Sprint(n)]
		if run == nil {
			continue
		}
		if run.times > 1 || n < len(answered) && run.cancelled {
			t.Errorf("request %d ran %d times, cancelled %v", n, run.times, run.cancelled)
		}
		if !r.safe && run.begins < ended {
			t.Errorf("request %d can't be repeated and began at %v, before %v", n, run.begins, ended)
		}
		if run.ends > closed {
			t.Errorf("request %d ended at %v, after the caller has left at %v", n, run.ends, closed)
		}
		if n > 0 && requests[n-1].ends && n > len(answered) {
			t.Errorf("request %d ran behind one that ends the connection", n)
		}
		ended = max(ended, run.ends)
	}
}

var _ ingress.AheadPolicy = getsRunAhead{}
