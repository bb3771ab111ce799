package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// trackingReader records whether it was read from and whether a read failed. The end of the input is not a failure.
type trackingReader struct {
	reader io.Reader
	used   atomic.Bool
	failed atomic.Bool
}

// Read implements io.Reader.
func (t *trackingReader) Read(p []byte) (int, error) {
	t.used.Store(true)
	n, err := t.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		t.failed.Store(true)
	}
	return n, err
}

// bufferSize is the number of bytes of a response that are read and written at once.
const bufferSize = 32 << 10

// buffers is a pool of buffers for copyBody, so that small responses need no allocation.
var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// copyBody copies a response's body to the caller and flushes after each read that doesn't fill the buffer, except the last. Before each
// write it checks that the response may still be used, and returns errLeaseLost if not. It returns nil only if the body was complete.
// A length of -1 means that the size isn't known.
func copyBody(w http.ResponseWriter, body io.Reader, length int64, usable func() bool) error {
	controller := http.NewResponseController(w)
	pooled := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(pooled)
	buffer := pooled[:]
	sent := int64(0)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if !usable() {
				return errLeaseLost
			}
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		sent += int64(n)
		if n < len(buffer) && sent != length {
			_ = controller.Flush()
		}
	}
}

var errLeaseLost = errors.New("lease expired while the response was sent")
