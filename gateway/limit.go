package gateway

import (
	"errors"
	"io"
)

// maxHeadBytes bounds the heads of all responses that are read for one request: interim ones, those to earlier requests and its own.
// Browsers, too, accept heads of up to 256 KiB.
const maxHeadBytes = 256 << 10

var errHeadTooLarge = errors.New("the heads of the received responses exceed 256 KiB")

// limitedReader reads the responses that arrive for one request after another, and fails when the limit of their heads is exceeded. Bytes
// that are buffered beyond a head count as part of it. Call reset before each request.
type limitedReader struct {
	io.Reader
	inBody bool
	// head is the number of bytes of heads that may still be read for the current request.
	head int64
}

// reset restores the limit.
func (l *limitedReader) reset() { l.head = maxHeadBytes }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.inBody {
		return l.Reader.Read(p)
	}
	if l.head <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(p)) > l.head {
		p = p[:l.head]
	}
	n, err := l.Reader.Read(p)
	l.head -= int64(n)
	return n, err
}
