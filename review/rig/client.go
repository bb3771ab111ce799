package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// client is a requester with one connection that it keeps.
type client struct {
	rec     *record
	name    string
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// bytesPerSecond is the rate at which bodies are sent and received, or 0 for no limit.
	bytesPerSecond float64
	// answered is the number of requests answered on the connection.
	answered int
}

// answer is what a requester gets for one attempt.
type answer struct {
	id string
	// kept is set if the connection had carried an answered request before.
	kept   bool
	status int
	stamp  string
	retry  string
	size   int
	// err is why there is no complete answer; closed is set if the process closed the connection.
	err    error
	closed bool
	took   time.Duration
}

func newID() string { return fmt.Sprintf("q%06d", requestNumber.Add(1)) }

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// do sends a request and waits for its answer until the deadline.
func (c *client) do(method, path string, key int, deadline time.Duration, body []byte) answer {
	a := answer{id: newID()}
	started := time.Now()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			a.err = err
			c.rec.event("%s cannot connect for %s: %v", c.name, a.id, err)
			return a
		}
		c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	}
	a.kept = c.answered > 0
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Sapphiretray-Request-Id: %s\r\nX-Sapphiretray-Deadline-Ms: %d\r\n",
		method, path, hostName, a.id, deadline.Milliseconds())
	if key >= 0 {
		fmt.Fprintf(&head, "X-Sapphiretray-Shard-Key: %d\r\n", key)
	}
	if body != nil || method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %s\r\n", strconv.Itoa(len(body)))
	}
	head.WriteString("\r\n")
	_ = c.conn.SetDeadline(started.Add(deadline))
	c.rec.event("%s sends %s %s %s key %d body %d bytes, kept connection %v", c.name, a.id, method, path, key, len(body), a.kept)
	_, err := c.conn.Write(head.Bytes())
	if err == nil {
		err = c.writeBody(body)
	}
	if err == nil {
		err = c.read(method, &a)
	}
	a.took = time.Since(started)
	a.err = err
	if err != nil {
		var timeout net.Error
		a.closed = !(errors.As(err, &timeout) && timeout.Timeout())
		c.rec.event("%s gets no answer to %s after %v: %v", c.name, a.id, a.took, err)
		c.drop()
		return a
	}
	c.answered++
	c.rec.event("%s gets %d for %s, stamp %q, retry after %q, after %v", c.name, a.status, a.id, a.stamp, a.retry, a.took)
	return a
}

// writeBody sends a body at the client's rate.
func (c *client) writeBody(body []byte) error {
	const piece = 256 << 10
	started := time.Now()
	for sent := 0; sent < len(body); {
		n, err := c.conn.Write(body[sent:min(sent+piece, len(body))])
		if err != nil {
			return err
		}
		sent += n
		if c.bytesPerSecond > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(float64(sent) / c.bytesPerSecond * float64(time.Second)))))
		}
	}
	return nil
}

// readBody receives a body at the client's rate and returns its size.
func (c *client) readBody(body io.Reader) (size int, err error) {
	started := time.Now()
	piece := make([]byte, 64<<10)
	for {
		n, err := body.Read(piece)
		size += n
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, err
		}
		if c.bytesPerSecond > 0 {
			time.Sleep(time.Until(started.Add(time.Duration(float64(size) / c.bytesPerSecond * float64(time.Second)))))
		}
	}
}

func (c *client) read(method string, a *answer) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	a.size, err = c.readBody(response.Body)
	_ = response.Body.Close()
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Sapphiretray-Server-Stamp")
	a.retry = response.Header.Get("Retry-After")
	if response.Close {
		defer c.drop()
	}
	return err
}
