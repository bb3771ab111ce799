package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/wait"
)

// maxRequestBytes bounds a forwarded body. The instance that took it from the caller applies the configured limit.
const maxRequestBytes = 128 << 20

// IsForwarded reports whether a request was forwarded by another instance, as opposed to a control call.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerCall) != "" }

// Handler runs forwarded requests at the local upstream. Once stopping returns true, requests without a key are refused: another
// instance can serve them, and this one is about to end.
func Handler(g *gateway.Gateway, news News, stopping func() bool) http.Handler {
	var arrivals transit
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refuse := func(f *gateway.Failure) { writeFailure(w, f, g.Load(), news.Versions()) }
		c, err := decodeCall(r.Header.Get(headerCall), time.Now(), &arrivals)
		if err != nil {
			refuse(&gateway.Failure{Code: code.BadRequest, Reason: err.Error()})
			return
		}
		request := c.request
		news.Heard(c.versions)
		if stopping() && request.Key == gateway.NoKey {
			refuse(&gateway.Failure{Code: code.Draining, Reason: "the instance stops"})
			return
		}
		if !isStillWanted(r.Context(), c.heldUp) {
			refuse(&gateway.Failure{Code: code.CallerGone, Reason: fmt.Sprintf("the caller left; held up on the way for %v", c.heldUp)})
			return
		}
		r.Header.Del(headerCall)
		r.Header.Del("Content-Length")
		request.Method, request.Target, request.Header = r.Method, r.RequestURI, r.Header
		if r.ContentLength != 0 {
			request.ReadBody = func() ([]byte, error) { return readBody(w, r) }
		}
		if r.ContentLength > 0 && r.ContentLength <= unaskedBody {
			// A short body comes with the headers. The HTTP server removes the Expect header of others.
			if request.Body, err = request.ReadBody(); err != nil {
				refuse(&gateway.Failure{Code: code.BodyFailed, Reason: err.Error()})
				return
			}
		}
		response, err := g.Do(r.Context(), request)
		if err != nil {
			var f *gateway.Failure
			if !errors.As(err, &f) {
				f = &gateway.Failure{Code: code.UpstreamFailed, Reason: err.Error()}
			}
			refuse(f)
			return
		}
		writeResponse(w, response, g.Load(), news.Versions())
	})
}

const (
	// heldUpLimit is the hold-up of a request or its body above which its cancellation is waited for. Work must not begin half a second
	// after a caller has left.
	heldUpLimit = 150 * time.Millisecond
	// cancelWait is how long it is waited for: what comes over the same connection right behind a request is read soon after it, but on
	// duocycle-mesh a request ran for 57 ms before it was cut.
	cancelWait = 60 * time.Millisecond
)

// isStillWanted reports whether a request wasn't cancelled while it was on its way. What a link holds up arrives together: the request,
// and right behind it that its caller has left.
func isStillWanted(ctx context.Context, heldUp time.Duration) bool {
	return heldUp < heldUpLimit || wait.For(ctx, cancelWait)
}

// readBody reads a whole body.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	begun := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil && !isStillWanted(r.Context(), time.Since(begun)) {
		err = r.Context().Err()
	}
	return body, err
}

func writeResponse(w http.ResponseWriter, response *gateway.Response, load gateway.Load, v Versions) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(headerResult, encodeResult(resultFields{
		code: code.OK, status: response.Status, load: load, waited: response.Waited, took: response.Took, versions: v,
	}))
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	header["Date"] = nil
	w.WriteHeader(http.StatusOK)
	// A failed write ends the connection, which the other instance notices.
	_, _ = w.Write(response.Body)
}

func writeFailure(w http.ResponseWriter, f *gateway.Failure, load gateway.Load, v Versions) {
	header := w.Header()
	header.Set(headerResult, encodeResult(resultFields{
		code: f.Code, retryAfter: f.RetryAfter, arrived: f.Arrived, load: load, versions: v, owner: f.Owner,
	}))
	header.Set("Content-Type", "text/plain")
	header["Date"] = nil
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, f.Reason)
}
