package gateway

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// removeHopHeaders removes the headers that concern one connection only, and the length, which is set anew.
func removeHopHeaders(header http.Header) {
	for _, named := range header["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// EndToEnd returns a copy of headers without those that concern one connection only.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	removeHopHeaders(kept)
	return kept
}
