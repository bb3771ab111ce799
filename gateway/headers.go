package gateway

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which apply to a single connection, and Content-Length, which is set anew.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// removeHopHeaders removes hopHeaders and the headers that Connection names.
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

// EndToEnd returns a copy of the headers without the hop-by-hop ones and Content-Length.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	removeHopHeaders(kept)
	return kept
}
