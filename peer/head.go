package peer

import (
	"fmt"
	"net/http"
)

const (
	// ownHeadBytes is left in the head of a response for the headers that instances add and those of HTTP/2.
	ownHeadBytes = 4 << 10
	// fieldOverhead is what HTTP/2 counts for each header in addition to its name and value.
	fieldOverhead = 32
)

// CheckHead returns an error if the head of an upstream's response is too large to be passed on to another instance. HTTP/2 would end the
// connection with all requests on it.
func CheckHead(header http.Header) error {
	const limit = MaxHeadBytes - ownHeadBytes
	if size := headBytes(header); size > limit {
		return fmt.Errorf("the head of the response takes %d bytes in HTTP/2, limit %d", size, limit)
	}
	return nil
}

// headBytes returns the size of headers as HTTP/2 counts it.
func headBytes(header http.Header) (size int) {
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	return size
}
