package gateway

import (
	"errors"
	"io"
)

const (
	// maxHeadBytes bounds the heads of all responses that are read for one request: interim ones, those to earlier requests and its
	// own. Browsers, too, accept heads of up to 256 KiB.
	maxHeadBytes = 256 << 10
	// maxExchangeBytes bounds the bodies of all responses that are read for one request, with the framing of their chunks.
	maxExchangeBytes = 2 * maxResponseBytes
)

var (
	errHeadTooLarge  = errors.New("the heads of the received responses exceed 256 KiB")
	errBodiesTooLong = errors.New("the bodies of the received responses exceed 32 MiB")
)

// limitedReader reads the responses that arrive for one request after another, and fails when a limit is exceeded. Bytes that are
// buffered beyond a head count as part of it. Call reset before each request.
type limitedReader struct {
	io.Reader
	inBody bool
	// head and bodies are the numbers of bytes that may still be read for the current request.
	head, bodies int64
}

// reset restores the limits.
func (l *limitedReader) reset() { l.head, l.bodies = maxHeadBytes, maxExchangeBytes }

// stop makes all further reads fail.
func (l *limitedReader) stop() { l.head, l.bodies = 0, 0 }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
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
	return n, err
}
