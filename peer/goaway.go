package peer

import (
	"context"
	"net"
	"net/http"
)

// The header of an HTTP/2 frame is the length of the payload in 3 bytes, the type, the flags, and the stream in 4 bytes (RFC 9113, section
// 4.1).
const (
	frameHeaderBytes = 9
	frameTypeOffset  = 3
	frameGoAway      = 0x7
)

// GoAwayDetector finds the GOAWAY frame, with which the other instance announces that it serves no further requests on a connection.
// The zero value is ready for the data of a new HTTP/2 connection.
type GoAwayDetector struct {
	header [frameHeaderBytes]byte
	// read is the number of bytes of header that have arrived, and payload the number of bytes of the frame's payload that haven't.
	read, payload int
}

// Detect reports whether a GOAWAY frame ends in the data that has arrived next.
func (d *GoAwayDetector) Detect(data []byte) bool {
	found := false
	for len(data) > 0 {
		if d.read < frameHeaderBytes {
			n := copy(d.header[d.read:], data)
			d.read += n
			data = data[n:]
			if d.read < frameHeaderBytes {
				break
			}
			d.payload = int(d.header[0])<<16 | int(d.header[1])<<8 | int(d.header[2])
		}
		n := min(d.payload, len(data))
		d.payload -= n
		data = data[n:]
		if d.payload == 0 {
			d.read = 0
			found = found || d.header[frameTypeOffset] == frameGoAway
		}
	}
	return found
}

// CloseOnGoAway is an option for transports. It closes the transport's idle connections, also those to further instances, when another
// instance announces that it stops. By itself a transport keeps the idle connection to that instance until its idle timeout, and the
// instance waits for that before it ends.
func CloseOnGoAway(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &goAwayConn{Conn: conn, closeIdle: t.CloseIdleConnections}, nil
	}
}

// goAwayConn calls closeIdle when a GOAWAY frame has arrived, before the transport handles the frame and forgets the connection.
type goAwayConn struct {
	net.Conn
	closeIdle func()
	detector  GoAwayDetector
}

// Read implements net.Conn.
func (c *goAwayConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.detector.Detect(p[:n]) {
		c.closeIdle()
	}
	return n, err
}
