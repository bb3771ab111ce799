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
	operators     = 5
	rounds        = 12
	clientTimeout = 40 * time.Millisecond
	// A late write arrives after the row was read back, at times before the write is repeated and at times after.
	maxLate = 200 * time.Millisecond
)

// request is an input of the history: a change to content in place of the version seen, or a read if content is 0.
type request struct {
	seen    uint64
	content int
}

// response is an output of the history.
type response struct {
	result  code.Code
	version uint64
	content int
}

// accepted is a state of the model.
type accepted struct {
	version uint64
	content int
}

// model says which results are allowed: an accepted change follows the version seen, a refused one has no effect, and
// one with an unknown outcome may have either.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{accepted{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(accepted), input.(request), output.(response)
		next := accepted{version: in.seen + 1, content: in.content}
		matches := s.version == in.seen
		switch {
		case in.content == 0:
			return keep(s, s == accepted{out.version, out.content})
		case out.result == code.OK:
			return keep(next, matches && out.version == next.version)
		case out.result == code.Conflict:
			return keep(s, !matches)
		case out.result == code.WriteUnknown && matches:
			return []any{s, next}
		default:
			return []any{s}
		}
	},
}

func keep(s accepted, allowed bool) []any {
	if allowed {
		return []any{s}
	}
	return nil
}

// faulty serves a platform that loses answers, is down, and lets writes take effect long after their caller gave up.
type faulty struct {
	inner http.Handler
	// rate is the share in percent of requests that meet each kind of fault.
	rate   int
	mu     sync.Mutex
	random *rand.Rand
	late   sync.WaitGroup
}

func (f *faulty) draw() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100)
}

func (f *faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch n := f.draw(); {
	case n < f.rate:
		w.WriteHeader(http.StatusServiceUnavailable)
	case n < 2*f.rate:
		f.inner.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case n < 3*f.rate && r.Method == http.MethodPost:
		body, _ := io.ReadAll(r.Body)
		delay := maxLate * time.Duration(f.draw()) / 100
		f.late.Go(func() {
			time.Sleep(delay)
			again := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
			f.inner.ServeHTTP(httptest.NewRecorder(), again)
		})
		panic(http.ErrAbortHandler)
	default:
		f.inner.ServeHTTP(w, r)
	}
}

// history records operations with their times.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

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

// row is a row that operators change, with a number as its content.
type row struct {
	name  string
	load  func(context.Context, sheet.Platform) (uint64, int, error)
	apply func(context.Context, sheet.Platform, request) (uint64, error)
}

var rows = []row{
	{
		"config",
		func(ctx context.Context, p sheet.Platform) (uint64, int, error) {
			a, err := config.Load(ctx, p.Table)
			if a.Version == 0 {
				return 0, 0, err
			}
			return a.Version, a.Value.Limits().MaxHeld(), err
		},
		func(ctx context.Context, p sheet.Platform, r request) (uint64, error) {
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
		func(ctx context.Context, p sheet.Platform) (uint64, int, error) {
			s, a, err := sheet.Current(ctx, p)
			budget, _ := s.Budget("a")
			return a.Version, budget, err
		},
		func(ctx context.Context, p sheet.Platform, r request) (uint64, error) {
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

// operate reads and changes a row in turn. An operator with an open unknown outcome goes on as a new client, because a
// client of a history has one operation at a time.
func (r row) operate(ctx context.Context, h *history, p sheet.Platform, operator int) {
	client := operator
	random := rand.New(rand.NewPCG(*seed, uint64(operator)))
	var seen uint64
	for round := range rounds {
		// Without pauses another operator's change would nearly always come before a late write.
		time.Sleep(time.Duration(random.Int64N(int64(maxLate))))
		out := h.run(client, request{}, func() response {
			version, content, err := r.load(ctx, p)
			return response{resultOf(err), version, content}
		})
		if out.result == code.OK {
			seen = out.version
		}
		in := request{seen, operator*rounds + round + 1}
		out = h.run(client, in, func() response {
			version, err := r.apply(ctx, p, in)
			return response{resultOf(err), version, in.content}
		})
		if out.result == code.WriteUnknown {
			client += operators
		}
	}
}

// Guards against a version that reverts, an accepted change that is lost, and a change reported as refused that took
// effect, while several operators work at once and the platform fails.
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
	f := &faulty{inner: (&fake.Platform{}).Handler(), rate: rate, random: rand.New(rand.NewPCG(*seed, uint64(rate)))}
	server := httptest.NewServer(f)
	defer server.Close()
	p := sheet.Platform{Table: table.New(server.URL, table.WithTimeout(clientTimeout)), Object: object.New(server.URL)}
	h := &history{start: time.Now()}
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() { r.operate(t.Context(), h, p, operator) })
	}
	group.Wait()
	f.late.Wait()
	results := make(map[code.Code]int)
	for _, o := range h.operations {
		if o.Input.(request).content != 0 {
			results[o.Output.(response).result]++
		}
	}
	t.Logf("seed %d: %v", *seed, results)
	if results[code.OK] == 0 || results[code.Conflict] == 0 {
		t.Error("the history shows too little")
	}
	if got := porcupine.CheckOperationsTimeout(model.ToModel(), h.operations, 30*time.Second); got != porcupine.Ok {
		t.Errorf("the history is %s", got)
	}
}
