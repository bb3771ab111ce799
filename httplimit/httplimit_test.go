package httplimit_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/httplimit"
)

const (
	small  = httplimit.SmallBytes
	medium = 1 << 20
)

// counter counts the bytes that are read, and how often it is closed.
type counter struct {
	io.Reader
	read, closed atomic.Int64
}

func (c *counter) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c *counter) Close() error {
	c.closed.Add(1)
	return nil
}

// endless is a reader that doesn't end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func response(body io.ReadCloser, length int64) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: body, ContentLength: length}
}

// TestLimit guards against bodies that are cut instead of refused, sound ones that are refused, and bodies that aren't closed.
func TestLimit(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		length  int64
		limit   int64
		refused bool
	}{
		{"empty", 0, -1, 10, false},
		{"empty, with a length", 0, 0, 10, false},
		{"at the limit", 10, -1, 10, false},
		{"at the limit, with a length", 10, 10, 10, false},
		{"above the limit", 11, -1, 10, true},
		{"above the limit, with a length", 11, 11, 10, true},
		{"small", small, -1, 4 * medium, false},
		{"more than small", small + 1, -1, 4 * medium, false},
		{"more than small, with a length", small + 1, small + 1, 4 * medium, false},
		{"limit between small and medium", small + 2, -1, small + 1, true},
		{"medium", medium, -1, 4 * medium, false},
		{"more than medium", medium + 1, -1, 4 * medium, false},
		{"large, at the limit", 4 * medium, -1, 4 * medium, false},
		{"large, at the limit, with a length", 4 * medium, 4 * medium, 4 * medium, false},
		{"large, above the limit", 4*medium + 1, -1, 4 * medium, true},
		{"more than the memory", 4 * medium, -1, 40 * medium, false},
		{"more than the length", small + 10, 10, small, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			body := &counter{Reader: bytes.NewReader(make([]byte, test.size))}
			limit := httplimit.Limit{Max: test.limit, Memory: []*httplimit.Memory{httplimit.NewMemory(8 * medium)}}
			content, err := limit.ReadAll(t.Context(), response(body, test.length))
			if refused := errors.Is(err, httplimit.ErrTooLarge); refused != test.refused || err != nil && !refused {
				t.Errorf("error %v, want refused %t", err, test.refused)
			}
			if err == nil && len(content) != test.size {
				t.Errorf("%d bytes, want %d", len(content), test.size)
			}
			if n := body.read.Load(); n > test.limit+1 {
				t.Errorf("%d bytes were read, limit %d", n, test.limit)
			}
			if n := body.closed.Load(); n != 1 {
				t.Errorf("the body was closed %d times", n)
			}
		})
	}
}

// TestMemory guards against bodies that are read together and exceed the memory, and against memory that isn't returned.
func TestMemory(t *testing.T) {
	const bodies, size = 6, 3 * medium
	for _, length := range []int64{-1, size} {
		bubble.Test(t, func(t *testing.T) {
			limit := httplimit.Limit{Max: 4 * medium, Memory: []*httplimit.Memory{httplimit.NewMemory(8 * medium)}}
			var read atomic.Int64
			finish := make(chan struct{})
			var group sync.WaitGroup
			for range bodies {
				group.Go(func() {
					reader, writer := io.Pipe()
					group.Go(func() {
						for n := 0; n < size; n += small {
							if n+small == size {
								<-finish
							}
							_, _ = writer.Write(make([]byte, small))
							read.Add(small)
						}
						_ = writer.Close()
					})
					content, err := limit.ReadAll(t.Context(), response(reader, length))
					if err != nil || len(content) != size {
						t.Errorf("%d bytes, error %v", len(content), err)
					}
				})
			}
			synctest.Wait()
			if n := read.Load(); n > 8*medium+bodies*(medium+small) {
				t.Errorf("%d bytes are held", n)
			}
			close(finish)
			group.Wait()
		})
	}
}

// readStuck reads a response of which nothing arrives until ctx ends.
func readStuck(ctx context.Context, t *testing.T, limit httplimit.Limit, length int64) {
	t.Helper()
	body, writer := io.Pipe()
	defer context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })()
	if _, err := limit.ReadAll(ctx, response(body, length)); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a response without end: %v", err)
	}
}

// TestMemoryOfOneServer guards against a server whose large responses don't end and that takes the memory of the other servers' responses.
func TestMemoryOfOneServer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		// limitedMedium is the number of responses of 1 MiB of the faulty server, of which 8 may be read at the same time.
		const limitedMedium = 12
		all := httplimit.NewMemory(32 * medium)
		limit := func() httplimit.Limit {
			return httplimit.Limit{Max: 16 * medium, Memory: []*httplimit.Memory{httplimit.NewMemory(16 * medium), all}}
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		faulty := limit()
		var group sync.WaitGroup
		for n := range 30 {
			length := int64(16 * medium)
			if n < limitedMedium {
				length = medium
			}
			group.Go(func() { readStuck(ctx, t, faulty, length) })
		}
		synctest.Wait()
		for _, size := range []int64{16 * medium, medium} {
			body := &counter{Reader: bytes.NewReader(make([]byte, size))}
			if _, err := limit().ReadAll(ctx, response(body, size)); err != nil {
				t.Error(err)
			}
		}
		// Bodies of up to 1 MiB don't wait for larger ones of the same server.
		large := limit()
		for range 3 {
			group.Go(func() { readStuck(ctx, t, large, 16*medium) })
		}
		synctest.Wait()
		body := &counter{Reader: bytes.NewReader(make([]byte, medium))}
		if _, err := large.ReadAll(ctx, response(body, medium)); err != nil {
			t.Error(err)
		}
		if ctx.Err() != nil {
			t.Error("the other responses waited for those without end")
		}
		group.Wait()
	})
}

// TestSmallBodies guards against small bodies that wait for memory, or for the rest of a response after its length.
func TestSmallBodies(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		limit := httplimit.Limit{Max: 4 * medium, Memory: []*httplimit.Memory{httplimit.NewMemory(4 * medium)}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var group sync.WaitGroup
		for range 3 {
			group.Go(func() { readStuck(ctx, t, limit, 2*medium) })
			group.Go(func() { readStuck(ctx, t, limit, 4*medium) })
		}
		synctest.Wait()
		for _, size := range []int64{0, 1, small - 1, small} {
			for _, length := range []int64{-1, size} {
				body := &counter{Reader: bytes.NewReader(make([]byte, size))}
				if length < 0 && size == small {
					// Whether it ends there isn't known.
					continue
				}
				if content, err := limit.ReadAll(ctx, response(body, length)); err != nil || int64(len(content)) != size {
					t.Errorf("%d bytes with length %d: %d bytes, error %v", size, length, len(content), err)
				}
			}
		}
		group.Wait()
	})
}

// TestHandler guards against requests whose bodies aren't bounded, and against memory that isn't returned after a request.
func TestHandler(t *testing.T) {
	limit := httplimit.Limit{Max: 4 * medium, Memory: []*httplimit.Memory{httplimit.NewMemory(4 * medium)}}
	tests := []struct {
		name         string
		size, length int64
		refused      bool
	}{
		{"no body", 0, 0, false},
		{"with a length", 4 * medium, 4 * medium, false},
		{"without length", 4 * medium, -1, false},
		{"too large, with a length", 4*medium + 1, 4*medium + 1, true},
		{"too large", 4*medium + 1, -1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 3 {
				var content []byte
				err := httplimit.ErrTooLarge
				handler := limit.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
					content, err = httplimit.ReadRequest(r)
				}))
				r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, test.size)))
				r.ContentLength = test.length
				handler.ServeHTTP(httptest.NewRecorder(), r)
				refused := errors.Is(err, httplimit.ErrTooLarge)
				if refused != test.refused || !refused && int64(len(content)) != test.size {
					t.Errorf("%d bytes, error %v", len(content), err)
				}
			}
		})
	}
}

// roundTripper is an http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// TestTransport guards against a client that reads whole bodies by itself and has no limit.
func TestTransport(t *testing.T) {
	for _, length := range []int64{-1, 1 << 40} {
		body := &counter{Reader: endless{}}
		client := &http.Client{Transport: &httplimit.Transport{
			Base: roundTripper(func(*http.Request) (*http.Response, error) { return response(body, length), nil }),
			Limit: func(*http.Request, *http.Response) httplimit.Limit {
				return httplimit.Limit{Max: 4 * medium, Memory: []*httplimit.Memory{httplimit.NewMemory(medium)}}
			},
		}}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server", strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(r)
		if err == nil {
			_, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		if !errors.Is(err, httplimit.ErrTooLarge) {
			t.Errorf("length %d: error %v", length, err)
		}
		if n := body.read.Load(); n > 4*medium+1 || body.closed.Load() != 1 {
			t.Errorf("length %d: %d bytes were read, the body was closed %d times", length, n, body.closed.Load())
		}
	}
}
