package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// boundaries returns the ends of the requests in data as net/http finds them, until a request is malformed or incomplete.
func boundaries(data []byte) []int {
	source := bytes.NewReader(data)
	reader := bufio.NewReader(source)
	var ends []int
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return ends
		}
		ends = append(ends, len(data)-source.Len()-reader.Buffered())
	}
}

// framed returns the ends of the requests in data as a framer finds them, which gets the data and is asked for it in parts of a size.
func framed(data []byte, size int) []int {
	var f framer
	var ends []int
	delivered := 0
	p := make([]byte, size)
	for len(data) > 0 || len(f.buffered) > 0 {
		n := min(size, len(data))
		f.buffered, data = append(f.buffered, data[:n]...), data[n:]
		f.begin()
		for {
			n := f.deliver(p)
			delivered += n
			if f.opaque {
				return ends
			}
			if f.whole {
				ends = append(ends, delivered)
				f.begin()
				continue
			}
			if n == 0 {
				break
			}
		}
	}
	return ends
}

// FuzzFramer guards against a connection that is split into requests at other places than net/http finds: a part of a body would then run
// as a request.
func FuzzFramer(f *testing.F) {
	const head = "GET /a HTTP/1.1\r\nHost: a\r\n"
	chunked := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	seeds := []string{
		head + "\r\n" + head + "\r\n",
		"GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\nHost: a\n\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nGET /" + head + "\r\n",
		chunked + "5\r\nGET /\r\n0\r\n\r\n" + head + "\r\n",
		chunked + "5;x=y\r\nGET /\r\n00\r\nA: b\r\n\r\n" + head + "\r\n",
		chunked + "5 \r\nGET /\r\n0\r\n\r\n" + head + "\r\n",
		chunked + "5\nGET /\r\n0\r\n\r\n" + head + "\r\n",
		chunked + "5\r\nGET /xx0\r\n\r\n" + head + "\r\n",
		chunked + "-1\r\n\r\n" + head + "\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + head + "\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" + head + "\r\n",
		head + "A: b\r\n c\r\n\r\n" + head + "Upgrade: x\r\n\r\n",
		"\r\n" + head + "\r\n",
		head + "\r\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n" + head + "\r\n",
		strings.Repeat(head+"\r\n", 20),
	}
	for _, s := range seeds {
		for _, size := range []int{1, 7, 4096} {
			f.Add([]byte(s), size)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		want := boundaries(data)
		got := framed(data, max(1, size%5000))
		if len(got) > len(want) || !slices.Equal(got, want[:len(got)]) {
			t.Errorf("requests end at %v, net/http finds %v in %q", got, want, data)
		}
	})
}
