package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sapphiretray/code"
	"sapphiretray/upstream"
)

// Names of the headers between callers and instances and between instances.
const (
	HeaderRequestID  = upstream.HeaderRequestID
	HeaderRan        = upstream.HeaderRan
	HeaderCode       = upstream.HeaderCode
	HeaderDeadline   = upstream.HeaderDeadline
	HeaderImportance = upstream.HeaderImportance
	HeaderToken      = "Sapphire-Token"
	HeaderForwarded  = "Sapphire-Forwarded"
	// HeaderMap carries the version of the responder's map in responses to misrouted requests.
	HeaderMap = "Sapphire-Map"
)

const (
	serverPingAfter   = 10 * time.Second
	serverPingTimeout = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
	maxStreams        = 10_000
	// stuckSlack is the time after a request's deadline for which a caller that neither sends nor reads is borne. It keeps
	// a reached deadline from looking like a caller that left.
	stuckSlack = 200 * time.Millisecond
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// stripHop removes the headers that concern one connection.
func stripHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// stripOwn removes the headers of this system.
func stripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, "Sapphire-") {
			delete(h, name)
		}
	}
}

// reply is the result of a request that didn't yield an upstream's response.
type reply struct {
	code code.Code
	ran  code.Ran
	text string
}

func (r reply) notRun() bool { return r.ran == code.RanNo }

// replyOf describes an error.
func replyOf(err error) reply {
	c, ok := code.Of(err)
	if !ok {
		c = code.UpstreamFailed
	}
	return reply{code: c, ran: c.Entry().Ran(), text: err.Error()}
}

func (s *Server) writeReply(w http.ResponseWriter, q *query, a reply) {
	h := w.Header()
	setResult(h, q.id, a.code, a.ran)
	if q.token != "" {
		h.Set(HeaderToken, q.token)
	}
	if a.code == code.Shed {
		h.Set("Retry-After", "1")
	}
	if a.code == code.NotOwner || a.code == code.NoOwner {
		if m := s.directory.Map(q.service()); m != nil {
			h.Set(HeaderMap, strconv.FormatUint(m.Version(), 10))
		}
	}
	body := a.code.String() + ": " + a.code.Entry().Text() + "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.code.Entry().Status())
	_, _ = w.Write([]byte(body))
}

func setResult(h http.Header, id string, c code.Code, ran code.Ran) {
	h.Set(HeaderRequestID, id)
	h.Set(HeaderCode, strconv.Itoa(int(c)))
	h.Set(HeaderRan, string(ran))
}
