package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sapphiretray/code"
	"sapphiretray/upstream"
)

// Headers between callers and instances, and between instances. Package upstream describes the values of the first five.
const (
	HeaderRequestID  = upstream.HeaderRequestID
	HeaderRan        = upstream.HeaderRan
	HeaderCode       = upstream.HeaderCode
	HeaderDeadline   = upstream.HeaderDeadline
	HeaderImportance = upstream.HeaderImportance
	// HeaderToken carries an at-most-once token; see Token.
	HeaderToken = "Sapphire-Token"
	// HeaderForwarded is "1" in requests that another instance forwards. It is removed from requests of callers.
	HeaderForwarded = "Sapphire-Forwarded"
	// HeaderMap is the version of the responding instance's map, in decimal, in responses to misrouted requests.
	HeaderMap = "Sapphire-Map"
)

const (
	// serverPingAfter is the time without frames after which an HTTP/2 connection is pinged, and serverPingTimeout the time within
	// which the response to the ping must arrive.
	serverPingAfter   = 10 * time.Second
	serverPingTimeout = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
	// maxStreams is the maximum number of concurrent HTTP/2 streams on one connection.
	maxStreams = 10_000
	// callerStreams, callerHeadBytes and callerBufferBytes bound, on a connection of a caller, the concurrent HTTP/2 streams, the head of a
	// request, and what has arrived on HTTP/2 streams and hasn't been read.
	callerStreams     = 50
	callerHeadBytes   = 64 << 10
	callerBufferBytes = 128 << 10
	// callerIdleTimeout is the time after which a connection of a caller without a request is closed.
	callerIdleTimeout = 3 * time.Minute
	// requestMemory is what a request in flight takes besides its body, in bytes.
	requestMemory = 32 << 10
	// stalledCallerGrace is the time after a request's deadline at which reading from a caller that has stopped sending fails. Writing to
	// one that has stopped reading fails after twice this time. If reading failed at the deadline itself, an expired deadline would be
	// reported as a caller that has left.
	stalledCallerGrace = 200 * time.Millisecond
	// refusedBodyTimeout is the time within which the body of a request that is refused without reading it must arrive.
	refusedBodyTimeout = time.Second
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop removes the hop-by-hop headers, including those named by the Connection header.
func removeHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// removeInternalHeaders removes the Sapphire-* headers.
func removeInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, "Sapphire-") {
			delete(h, name)
		}
	}
}

// outcome is how a request ended: its result code, whether it ran at the upstream, and a description.
type outcome struct {
	code code.Code
	ran  code.Ran
	text string
}

func (o outcome) notRun() bool { return o.ran == code.RanNo }

// outcomeOf returns the outcome of a failed request. Errors without a result code count as code.UpstreamFailed.
func outcomeOf(err error) outcome {
	c, ok := code.Of(err)
	if !ok {
		c = code.UpstreamFailed
	}
	return outcome{code: c, ran: c.Entry().Ran(), text: err.Error()}
}

// writeErrorResponse sends the response to a request for which there is no upstream response to pass on.
func (s *Server) writeErrorResponse(w http.ResponseWriter, in *inboundRequest, o outcome) {
	h := w.Header()
	setResultHeaders(h, in.id, o.code, o.ran)
	s.closeIfDraining(h, in)
	if in.token != "" {
		h.Set(HeaderToken, in.token)
	}
	if o.code == code.Shed || o.code == code.ConfigOutdated || o.code == code.NoMemory {
		h.Set("Retry-After", "1")
	}
	if o.code == code.NotOwner || o.code == code.NoOwner {
		if m := s.directory.Map(in.service()); m != nil {
			h.Set(HeaderMap, strconv.FormatUint(m.Version(), 10))
		}
	}
	body := o.code.String() + ": " + o.code.Entry().Text() + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(o.code.Entry().Status())
	_, _ = w.Write([]byte(body))
}

// setResultHeaders sets the headers that every response to a caller carries.
func setResultHeaders(h http.Header, id string, c code.Code, ran code.Ran) {
	h.Set(HeaderRequestID, id)
	h.Set(HeaderCode, strconv.Itoa(int(c)))
	h.Set(HeaderRan, string(ran))
}
