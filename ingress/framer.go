package ingress

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
)

const (
	// maxBuffered is the number of bytes that are read ahead on a connection. Reading then stops until the request that is served ends.
	maxBuffered = 32 << 10
	// readChunk is the number of bytes by which the buffer of a connection grows.
	readChunk = 4 << 10
)

// framer splits what a caller sends on a connection into requests, so that the HTTP server gets no byte of a request before it has finished
// the one before. The zero value is ready to use.
type framer struct {
	// buffered holds what has arrived and the HTTP server hasn't got yet.
	buffered []byte
	// number counts the requests whose first byte the HTTP server has got. head is what it has got of the head of the newest one.
	number uint64
	head   []byte
	line   lineScanner
	// body is the number of bytes of the newest request's body that the HTTP server hasn't got. chunks finds the end of a chunked body, and
	// is nil for any other request.
	body   int64
	chunks *chunkScanner
	// whole is set once the HTTP server has got the newest request with its body.
	whole bool
	// last is set if the newest request ends the connection.
	last bool
	// opaque is set once the connection can't be split any more.
	opaque bool
}

// begin makes the framer deliver the next request.
func (f *framer) begin() {
	if f.whole || f.number == 0 {
		f.number++
		if cap(f.head) > readChunk {
			f.head = nil
		}
		f.head, f.line, f.body, f.chunks, f.whole = f.head[:0], lineScanner{}, 0, nil, false
	}
}

// deliver copies buffered bytes of the newest request to p. It returns 0 if there are none or the request is whole.
func (f *framer) deliver(p []byte) int {
	n := min(len(p), len(f.buffered))
	switch {
	case f.opaque:
	case f.whole:
		return 0
	case f.body > 0:
		n = int(min(int64(n), f.body))
		f.skipBody(n)
	case f.chunks != nil:
		n, f.whole = f.chunks.scan(f.buffered[:n])
		f.opaque = f.chunks.malformed
	default:
		var ended bool
		n, ended = f.line.scan(f.buffered[:n])
		f.head = append(f.head, f.buffered[:n]...)
		if ended {
			f.endHead()
		}
	}
	copy(p, f.buffered[:n])
	f.buffered = f.buffered[:copy(f.buffered, f.buffered[n:])]
	if len(f.buffered) == 0 && cap(f.buffered) > readChunk {
		f.buffered = nil
	}
	return n
}

// skipBody counts bytes of the body that the HTTP server gets.
func (f *framer) skipBody(n int) {
	f.body -= int64(n)
	f.whole = f.body == 0
}

// endHead finds the end of the request whose head is complete.
func (f *framer) endHead() {
	r := parseHead(f.head)
	if !isFramed(r) {
		f.opaque, f.head = true, nil
		return
	}
	f.last = r.Close
	if isChunked(r) {
		f.chunks = &chunkScanner{}
		return
	}
	f.body = r.ContentLength
	f.whole = f.body == 0
}

// parseHead returns the request with the given head, or nil if it is malformed.
func parseHead(head []byte) *http.Request {
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil {
		// The HTTP server responds to it and closes the connection.
		return nil
	}
	return r
}

// isChunked reports whether a request has a chunked body, which is the only transfer encoding that net/http accepts.
func isChunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// hasNoBody reports whether a request ends with its head.
func hasNoBody(r *http.Request) bool { return !isChunked(r) && r.ContentLength == 0 }

// isFramed reports whether it is certain where a request ends and that another may follow.
func isFramed(r *http.Request) bool {
	return r != nil && r.ProtoAtLeast(1, 1) && r.ProtoMajor == 1 && (isChunked(r) || r.ContentLength >= 0) &&
		r.Method != http.MethodConnect && r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == ""
}

// lineScanner finds the empty line that ends a head, with the line ends that net/http accepts: a line feed, which a carriage return may
// precede. The zero value begins at the first line.
type lineScanner struct {
	// length is the number of bytes of the current line, and last the newest of them.
	length int
	last   byte
}

// scan returns the number of bytes of data that belong to the head, and whether it ends with them.
func (l *lineScanner) scan(data []byte) (n int, ended bool) {
	for n < len(data) {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			l.length, l.last = l.length+len(data)-n, data[len(data)-1]
			return len(data), false
		}
		if end > 0 {
			l.length, l.last = l.length+end, data[n+end-1]
		}
		n += end + 1
		empty := l.length == 0 || l.length == 1 && l.last == '\r'
		l.length = 0
		if empty {
			return n, true
		}
	}
	return n, false
}

// maxChunkLine bounds the line with the size of a chunk, as net/http does.
const maxChunkLine = 4096

// chunkScanner finds the end of a chunked body without a trailer. The zero value begins at its first byte.
type chunkScanner struct {
	// line is what has been scanned of the line with the size of a chunk.
	line []byte
	// left is the number of bytes left of the current chunk, and lineEnd what is left of the line end behind it.
	left    int64
	lineEnd string
	// last is set once the size of the last chunk has been scanned.
	last bool
	// malformed is set once the end can't be found any more.
	malformed bool
}

// scan returns the number of bytes of data that belong to the body, and whether it ends with them.
func (c *chunkScanner) scan(data []byte) (n int, ended bool) {
	for n < len(data) && !c.malformed {
		switch {
		case c.left > 0:
			used := int(min(c.left, int64(len(data)-n)))
			c.left -= int64(used)
			n += used
		case c.lineEnd != "":
			c.malformed = data[n] != c.lineEnd[0]
			c.lineEnd = c.lineEnd[1:]
			n++
			if c.last && c.lineEnd == "" && !c.malformed {
				return n, true
			}
		default:
			n += c.scanSize(data[n:])
		}
	}
	if c.malformed {
		return len(data), false
	}
	return n, false
}

// scanSize scans the line with the size of a chunk and returns the number of its bytes in data.
func (c *chunkScanner) scanSize(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		c.line = append(c.line, data...)
		c.malformed = len(c.line) > maxChunkLine
		return len(data)
	}
	line, regular := bytes.CutSuffix(append(c.line, data[:end]...), []byte{'\r'})
	text, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseInt(string(bytes.TrimRight(text, " \t")), 16, 32)
	c.malformed = err != nil || size < 0 || !regular
	c.line, c.last = c.line[:0], size == 0
	c.left, c.lineEnd = size, "\r\n"
	return end + 1
}
