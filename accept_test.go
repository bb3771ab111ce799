package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"sapphiretray/code"
	"sapphiretray/config"
	"sapphiretray/fake"
	"sapphiretray/object"
	"sapphiretray/sheet"
	"sapphiretray/table"

	"github.com/anishathalye/porcupine"
)

var seed = flag.Uint64("seed", 1, "seed of randomised tests")

const (
	// operators is the number of concurrent operators, and rounds the number of changes that each of them makes.
	operators = 5
	rounds    = 12
	// clientTimeout bounds each call to the table service.
	clientTimeout = 40 * time.Millisecond
	// maxWriteDelay bounds the delay of a write whose connection is closed before it takes effect. Such a write arrives after the client
	// read the row back, sometimes before the client retries the write and sometimes after.
	maxWriteDelay = 200 * time.Millisecond
)

// request is the input of an operation in the history: a change to content based on the version seen, or a read if content is 0.
type request struct {
	seen    uint64
	content int
}

// response is the output of an operation in the history.
type response struct {
	result  code.Code
	version uint64
	content int
}

// modelState is the state of the model: the accepted version of the row and its content.
type modelState struct {
	version uint64
	content int
}

// model defines the allowed results: an accepted change follows the version seen, a refused change has no effect, and a change
// with an unknown outcome may have taken effect or not.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(modelState), input.(request), output.(response)
		next := modelState{version: in.seen + 1, content: in.content}
		matches := s.version == in.seen
		switch {
		case in.content == 0:
			return nextStates(s, s == modelState{out.version, out.content})
		case out.result == code.OK:
			return nextStates(next, matches && out.version == next.version)
		case out.result == code.Conflict:
			return nextStates(s, !matches)
		case out.result == code.WriteUnknown && matches:
			return []any{s, next}
		default:
			return []any{s}
		}
	},
}

// nextStates returns s as the only next state if the result is allowed, and none otherwise.
func nextStates(s modelState, allowed bool) []any {
	if allowed {
		return []any{s}
	}
	return nil
}

// faultyPlatform is a fake platform that is down, loses responses, or lets writes take effect after it closed their connection.
type faultyPlatform struct {
	inner http.Handler
	// rate is the percentage of requests that each kind of fault affects.
	rate    int
	mu      sync.Mutex
	random  *rand.Rand
	delayed sync.WaitGroup
}

// randomPercent returns a number from 0 to 99.
func (f *faultyPlatform) randomPercent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100)
}

func (f *faultyPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch n := f.randomPercent(); {
	case n < f.rate:
		w.WriteHeader(http.StatusServiceUnavailable)
	case n < 2*f.rate:
		f.inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case n < 3*f.rate && r.Method == http.MethodPost:
		body, _ := io.ReadAll(r.Body)
		delay := maxWriteDelay * time.Duration(f.randomPercent()) / 100
		f.delayed.Go(func() {
			time.Sleep(delay)
			again := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
			f.inner.ServeHTTP(httptest.NewRecorder(), again)
		})
		panic(http.ErrAbortHandler)
	default:
		f.inner.ServeHTTP(w, r)
	}
}

// history records operations with the times of their calls and returns, in nanoseconds since start.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

// run records an operation. Failed reads are left out, because they say nothing about the row.
func (h *history) run(client int, in request, call func() response) response {
	began := time.Since(h.start).Nanoseconds()
	out := call()
	ended := time.Since(h.start).Nanoseconds()
	if in.content == 0 && out.result != code.OK {
		return out
	}
	if out.result == code.WriteUnknown {
		// The write may still take effect at any later time.
		ended = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
	return out
}

// row is a row that operators change. Its content is reduced to one number; load returns the version, 0 for none, and the content.
type row struct {
	name  string
	load  func(context.Context, sheet.Clients) (uint64, int, error)
	apply func(context.Context, sheet.Clients, request) (uint64, error)
}

var rows = []row{
	{
		"config",
		func(ctx context.Context, p sheet.Clients) (uint64, int, error) {
			a, err := config.Load(ctx, p.Table)
			if a.Version == 0 {
				return 0, 0, err
			}
			return a.Version, a.Value.Limits().MaxHeld(), err
		},
		func(ctx context.Context, p sheet.Clients, r request) (uint64, error) {
			next, err := config.Parse(fmt.Appendf(nil,
				`{"services": [{"name": "a", "partitions": 4}], "limits": {"max_held": %d}}`, r.content))
			if err != nil {
				return 0, err
			}
			a, err := config.Apply(ctx, p.Table, next, r.seen, "ana", "")
			return a.Version, err
		},
	},
	{
		"sheet",
		func(ctx context.Context, p sheet.Clients) (uint64, int, error) {
			s, a, err := sheet.Current(ctx, p)
			budget, _ := s.Budget("a")
			return a.Version, budget, err
		},
		func(ctx context.Context, p sheet.Clients, r request) (uint64, error) {
			content := fmt.Appendf(nil, "kind,service,name,data_centre,value,reason\nservice,a,,,4,\nbudget,a,,,%d,\n", r.content)
			a, _, err := sheet.Accept(ctx, p, sheet.Request{Content: content, Mode: sheet.Apply, Seen: r.seen, By: "ana"})
			return a.Version, err
		},
	},
}

func resultOf(err error) code.Code {
	if err == nil {
		return code.OK
	}
	number, _ := code.Of(err)
	return number
}

// operate alternates reads and changes of a row. After a change with an unknown outcome the operator goes on as a new client,
// because a client of a history has only one operation at a time and this one has no end.
func (r row) operate(ctx context.Context, h *history, clients sheet.Clients, operator int) {
	client := operator
	random := rand.New(rand.NewPCG(*seed, uint64(operator)))
	var seen uint64
	for round := range rounds {
		// Without this pause, another operator's change would nearly always precede a delayed write.
		time.Sleep(time.Duration(random.Int64N(int64(maxWriteDelay))))
		out := h.run(client, request{}, func() response {
			version, content, err := r.load(ctx, clients)
			return response{resultOf(err), version, content}
		})
		if out.result == code.OK {
			seen = out.version
		}
		in := request{seen, operator*rounds + round + 1}
		out = h.run(client, in, func() response {
			version, err := r.apply(ctx, clients, in)
			return response{resultOf(err), version, in.content}
		})
		if out.result == code.WriteUnknown {
			client += operators
		}
	}
}

// TestAcceptHistory guards against a version that goes back, an accepted change that is lost, and a change that takes effect although it
// is reported as refused, while several operators change a row at the same time and the platform fails.
func TestAcceptHistory(t *testing.T) {
	for _, r := range rows {
		for rate := 10; rate <= 20; rate += 5 {
			t.Run(fmt.Sprintf("%s/%d%%", r.name, rate), func(t *testing.T) {
				t.Parallel()
				r.test(t, rate)
			})
		}
	}
}

func (r row) test(t *testing.T, rate int) {
	t.Helper()
	f := &faultyPlatform{inner: (&fake.Platform{}).Handler(), rate: rate, random: rand.New(rand.NewPCG(*seed, uint64(rate)))}
	server := httptest.NewServer(f)
	defer server.Close()
	clients := sheet.Clients{Table: table.New(server.URL, table.WithTimeout(clientTimeout)), Object: object.New(server.URL)}
	h := &history{start: time.Now()}
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() { r.operate(t.Context(), h, clients, operator) })
	}
	group.Wait()
	f.delayed.Wait()
	results := make(map[code.Code]int)
	for _, o := range h.operations {
		if o.Input.(request).content != 0 {
			results[o.Output.(response).result]++
		}
	}
	t.Logf("seed %d: %v", *seed, results)
	if results[code.OK] == 0 || results[code.Conflict] == 0 {
		t.Error("no change was accepted or none met a conflict")
	}
	if got := porcupine.CheckOperationsTimeout(model.ToModel(), h.operations, 30*time.Second); got != porcupine.Ok {
		t.Errorf("check of the history against the model: %s", got)
	}
}
