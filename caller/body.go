package caller

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// flagReader notes that it was read from and how reading failed.
type flagReader struct {
	reader io.Reader
	used   atomic.Bool
	failed atomic.Bool
}

// Read reads the next part.
func (f *flagReader) Read(p []byte) (int, error) {
	f.used.Store(true)
	n, err := f.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		f.failed.Store(true)
	}
	return n, err
}

const bufferSize = 32 << 10

// buffers are shared by requests, so that a small request allocates none.
var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// copyBody sends a response's body to the caller and flushes each part but the last. It checks before each part that the response may
// still be used. The result is nil only if the body was complete.
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
