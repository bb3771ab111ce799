package fake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Endless is a faulty server that responds to each request with bytes that don't end. It stops once it has sent its limit of bytes on a
// connection, so that a client without a limit of its own can't exhaust the machine, or when the client closes the connection.
type Endless struct {
	listener net.Listener
	// respond returns what is sent once and what is repeated in response to a request on an HTTP/2 stream, which is 0 in HTTP/1.1.
	respond func(stream uint32) (prefix, unit []byte)
	http2   bool
	limit   int64
	written atomic.Int64
	group   sync.WaitGroup
}

// EndlessHTTP1 starts a server that responds to each HTTP/1.1 request with prefix and then with unit until limit bytes are sent.
func EndlessHTTP1(ctx context.Context, prefix, unit string, limit int64) (*Endless, error) {
	return startEndless(ctx, &Endless{limit: limit, respond: func(uint32) ([]byte, []byte) { return []byte(prefix), []byte(unit) }})
}

// EndlessHTTP2 starts a server that responds to the first request of each HTTP/2 connection. It ignores flow control.
func EndlessHTTP2(ctx context.Context, respond func(stream uint32) (prefix, unit []byte), limit int64) (*Endless, error) {
	return startEndless(ctx, &Endless{limit: limit, respond: respond, http2: true})
}

func startEndless(ctx context.Context, e *Endless) (*Endless, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.listener = listener
	e.group.Go(e.accept)
	return e, nil
}

// Address returns the host:port of the server.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Written returns the number of bytes that were sent on all connections.
func (e *Endless) Written() int64 { return e.written.Load() }

// Close stops accepting connections and waits until those that are open have ended.
func (e *Endless) Close() {
	_ = e.listener.Close()
	e.group.Wait()
}

func (e *Endless) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.group.Go(func() {
			defer func() { _ = conn.Close() }()
			e.serve(conn)
		})
	}
}

// serve responds to the first request on a connection.
func (e *Endless) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	var stream uint32
	if e.http2 {
		if _, err := conn.Write(Frame(FrameSettings, 0, 0, nil)); err != nil {
			return
		}
		stream = requestStream(reader)
		if stream == 0 {
			return
		}
	} else {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
	}
	closed := make(chan struct{})
	e.group.Go(func() {
		defer close(closed)
		// Frames of the client, such as acknowledgements, would otherwise fill its send buffer.
		_, _ = io.Copy(io.Discard, reader)
	})
	prefix, unit := e.respond(stream)
	n, err := conn.Write(prefix)
	e.written.Add(int64(n))
	block := bytes.Repeat(unit, 1+(64<<10)/len(unit))
	for sent := int64(n); err == nil && sent < e.limit; sent += int64(n) {
		n, err = conn.Write(block)
		e.written.Add(int64(n))
	}
	if err == nil {
		// The client decides what becomes of the incomplete response.
		<-closed
	}
}

// Types and flags of HTTP/2 frames.
const (
	FrameData         = 0x0
	FrameHeaders      = 0x1
	FrameSettings     = 0x4
	FrameContinuation = 0x9
	FlagEndHeaders    = 0x4
	frameHeadBytes    = 9
	prefaceBytes      = 24
)

// Frame returns an HTTP/2 frame.
func Frame(kind, flags byte, stream uint32, payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	frame = append(frame, flags)
	frame = binary.BigEndian.AppendUint32(frame, stream)
	return append(frame, payload...)
}

// HeaderField returns an HTTP/2 header field of which the name and the value have less than 127 bytes each.
func HeaderField(name, value string) []byte {
	field := append([]byte{0, byte(len(name))}, name...)
	return append(append(field, byte(len(value))), value...)
}

// requestStream reads the frames of a client until the head of its first request and returns the request's stream, or 0 if there is none.
func requestStream(reader io.Reader) uint32 {
	if _, err := io.CopyN(io.Discard, reader, prefaceBytes); err != nil {
		return 0
	}
	for {
		var head [frameHeadBytes]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return 0
		}
		length := int64(binary.BigEndian.Uint32(head[:4]) >> 8)
		if _, err := io.CopyN(io.Discard, reader, length); err != nil {
			return 0
		}
		if head[3] == FrameHeaders {
			return binary.BigEndian.Uint32(head[5:])
		}
	}
}
