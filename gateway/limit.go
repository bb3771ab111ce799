package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/sync/semaphore"

	"sapphiretray/httplimit"
)

const (
	// maxHeadBytes bounds the heads of all responses that are read for one request: interim ones, those to earlier requests and its own.
	maxHeadBytes = httplimit.MaxHeadBytes
	// maxHeadFields bounds the headers of a response, each of which takes up to 150 bytes more than its text.
	maxHeadFields = 1500
	// maxHeadLines bounds the lines of a head while it is read. The last part that is read may contain a part of the body.
	maxHeadLines = maxHeadFields + readBufferSize
	// smallHeadBytes is the size up to which heads are read without a reservation, the usual limit of web servers. The reservation for a
	// larger one ends with the head, or, above mediumHeadBytes, with the response.
	smallHeadBytes  = 8 << 10
	mediumHeadBytes = 32 << 10
	// headMemory is the memory that a head of maxHeadBytes and maxHeadLines takes while it is read, and maxHeadMemory bounds that of the
	// heads that are read at the same time.
	headMemory    = 2 << 20
	maxHeadMemory = 8 * headMemory
	// maxResponseBytes bounds a response body, which is held in memory.
	maxResponseBytes = 16 << 20
	// maxBodyMemory bounds the bodies of responses to requests without memory of their own that are read at the same time.
	maxBodyMemory = 2 * maxResponseBytes
	// maxSentBytes bounds the bodies above smallBody that are sent to the upstream at the same time. It holds them until it has served the
	// requests. A larger one is sent alone.
	maxSentBytes = 64 << 20
	smallBody    = 64 << 10
	// maxExchangeBytes bounds the bodies of all responses that are read for one request, with the framing of their chunks.
	maxExchangeBytes = 2 * maxResponseBytes
)

var (
	errHeadTooLarge  = errors.New("the heads of the received responses exceed 256 KiB")
	errTooManyFields = fmt.Errorf("the response has more than %d headers", maxHeadFields)
	errBodiesTooLong = errors.New("the bodies of the received responses exceed 32 MiB")
)

// memory bounds the responses that are read at the same time on all connections to the upstream.
type memory struct {
	// heads holds maxHeadMemory.
	heads  *semaphore.Weighted
	bodies *httplimit.Budget
}

func newMemory() *memory {
	return &memory{heads: semaphore.NewWeighted(maxHeadMemory), bodies: httplimit.NewBudget(maxBodyMemory)}
}

// limitedReader reads the responses that arrive for one request after another, and fails when a limit is exceeded. Bytes that are
// buffered beyond a head count as part of it. Call reset before each request and beginHead before each head.
type limitedReader struct {
	io.Reader
	memory *memory
	inBody bool
	// head and bodies are the numbers of bytes that may still be read for the current request.
	head, bodies int64
	// ctx ends with the current request.
	ctx context.Context //nolint:containedctx // It bounds the wait for memory while a head is read.
	// reserved is set while headMemory is reserved.
	reserved bool
	// lines is the number of lines of the current head.
	lines int
}

// reset restores the limits.
func (l *limitedReader) reset() { l.head, l.bodies = maxHeadBytes, maxExchangeBytes }

// stop makes all further reads fail.
func (l *limitedReader) stop() { l.head, l.bodies = 0, 0 }

// beginHead prepares for a head of a response to a request with a context.
func (l *limitedReader) beginHead(ctx context.Context) { l.ctx, l.lines, l.inBody = ctx, 0, false }

// beginBody prepares for the body that follows a head.
func (l *limitedReader) beginBody() {
	l.inBody = true
	if l.head >= maxHeadBytes-mediumHeadBytes {
		l.release()
	}
}

// endResponse ends a response that isn't followed by another one if err isn't nil.
func (l *limitedReader) endResponse(err error) {
	l.ctx, l.inBody = nil, false
	l.release()
	if err != nil {
		l.stop()
	}
}

// release returns the memory that is reserved for a head.
func (l *limitedReader) release() {
	if l.reserved {
		l.memory.heads.Release(headMemory)
	}
	l.reserved = false
}

// reserve waits until a head that isn't small may be read, or the request ends.
func (l *limitedReader) reserve() error {
	if l.inBody || l.reserved || l.ctx == nil || l.head > maxHeadBytes-smallHeadBytes {
		return nil
	}
	if err := l.memory.heads.Acquire(l.ctx, headMemory); err != nil {
		return fmt.Errorf("wait to read a long head of a response: %w", err)
	}
	l.reserved = true
	return nil
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if err := l.reserve(); err != nil {
		return 0, err
	}
	left, exceeded := &l.head, errHeadTooLarge
	if l.inBody {
		left, exceeded = &l.bodies, errBodiesTooLong
	}
	if *left <= 0 {
		return 0, exceeded
	}
	if int64(len(p)) > *left {
		p = p[:*left]
	}
	n, err := l.Reader.Read(p)
	*left -= int64(n)
	if !l.inBody {
		if l.lines += bytes.Count(p[:n], []byte("\n")); l.lines > maxHeadLines {
			return 0, errTooManyFields
		}
	}
	return n, err
}

// checkFields returns an error if a response has too many headers.
func checkFields(header http.Header) error {
	fields := 0
	for _, values := range header {
		fields += len(values)
	}
	if fields > maxHeadFields {
		return errTooManyFields
	}
	return nil
}
