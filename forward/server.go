package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/code"
	"sapphiretray/gateway"
	"sapphiretray/httplimit"
	"sapphiretray/peer"
	"sapphiretray/wait"
)

const (
	// maxRequestBytes bounds the body of a forwarded request. The configured limit is applied by the instance that the caller is connected
	// to.
	maxRequestBytes = 128 << 20
	// noMemoryRetryAfter is the Retry-After of a request for whose body there is no memory.
	noMemoryRetryAfter = 500 * time.Millisecond
)

// IsForwarded reports whether a request between instances is for Handler, as opposed to a control call.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerCall) != "" || isProbe(r) }

// isProbe reports whether a request only asks whether the instance responds.
func isProbe(r *http.Request) bool { return r.Header.Get(headerProbe) != "" }

// Handler returns a handler that sends forwarded requests to the local upstream. Once stopping returns true it refuses requests
// without a key, since other instances can serve them.
func Handler(g *gateway.Gateway, exchange VersionExchange, stopping func() bool) http.Handler {
	var delays delayEstimator
	serve := func(w http.ResponseWriter, r *http.Request) {
		if isProbe(r) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		var route string
		refuse := func(f *gateway.Failure) { writeFailure(w, f, g.RouteLoad(route), exchange.Versions()) }
		forwarded, err := decodeCall(r.Header.Get(headerCall), time.Now(), &delays)
		if err == nil {
			err = decodeBound(r.Header.Get(headerBound), forwarded.request)
		}
		if err != nil {
			refuse(&gateway.Failure{Code: code.BadRequest, Reason: err.Error()})
			return
		}
		request := forwarded.request
		route = request.Route
		exchange.ObserveVersions(forwarded.versions)
		if stopping() && request.Key == gateway.NoKey {
			refuse(&gateway.Failure{Code: code.Draining, Reason: "the instance is stopping"})
			return
		}
		if !isStillWanted(r.Context(), forwarded.delay) {
			refuse(&gateway.Failure{
				Code: code.CallerGone, Reason: fmt.Sprintf("the caller left; the request was delayed in transit for %v", forwarded.delay),
			})
			return
		}
		request.Memory = g.Memory().Open(r.RemoteAddr)
		defer request.Memory.Close()
		request.Weight = decodeWeight(r.Header)
		r.Header.Del(headerCall)
		r.Header.Del(headerBound)
		r.Header.Del(headerWeight)
		r.Header.Del("Content-Length")
		request.Method, request.Target, request.Header = r.Method, r.RequestURI, r.Header
		if r.ContentLength != 0 {
			request.BodySize = max(r.ContentLength, 0)
			request.ReadBody = func() ([]byte, error) { return readBody(r, request.Memory) }
			// On a connection that has gone silent, neither the rest of the body nor the cancellation arrives. An error means that the
			// server doesn't support deadlines; the end of the connection bounds the wait then.
			_ = http.NewResponseController(w).SetReadDeadline(request.Deadline)
		}
		if r.ContentLength > 0 && r.ContentLength <= maxUnannouncedBody {
			// A body of up to maxUnannouncedBody is sent right behind the headers. A larger one is requested only by ReadBody, once the
			// request may run. The size tells them apart because http.Server removes the Expect header.
			if request.Body, err = request.ReadBody(); err != nil {
				refuse(bodyFailure(err))
				return
			}
		}
		response, err := g.Do(r.Context(), request)
		logEnd(r.Context(), forwarded, response, err, stopping())
		if err != nil {
			var f *gateway.Failure
			if !errors.As(err, &f) {
				f = &gateway.Failure{Code: code.UpstreamFailed, Reason: err.Error()}
			}
			refuse(f)
			return
		}
		if err := peer.CheckHead(response.Header); err != nil {
			refuse(&gateway.Failure{Code: code.UpstreamFailed, Arrived: true, Reason: err.Error()})
			return
		}
		writeResponse(w, response, g.RouteLoad(route), exchange.Versions())
	}
	return http.HandlerFunc(serve)
}

// bodyFailure returns the failure of a request whose body wasn't read because of an error.
func bodyFailure(err error) *gateway.Failure {
	if errors.Is(err, httplimit.ErrNoRoom) {
		return &gateway.Failure{Code: code.NoMemory, RetryAfter: noMemoryRetryAfter, Reason: err.Error()}
	}
	return &gateway.Failure{Code: code.BodyFailed, Reason: err.Error()}
}

// logEnd logs the end of a request whose result can't be delivered, or that ended while the instance is stopping. Other requests are
// logged by the instance that the caller is connected to.
func logEnd(ctx context.Context, forwarded forwardedRequest, response *gateway.Response, err error, stopping bool) {
	status := 0
	if response != nil {
		status = response.Status
	}
	fields := []any{
		"id", forwarded.request.ID, "from", forwarded.versions.Slot, "status", status, "err", err, "transitDelay", forwarded.delay,
		"left", time.Until(forwarded.request.Deadline),
	}
	switch {
	case ctx.Err() != nil:
		klog.InfoS("forward: result not delivered", append(fields, "cause", context.Cause(ctx))...)
	case stopping:
		klog.InfoS("forward: request ended during the stop", fields...)
	}
}

const (
	// maxDelay is the delay of a request or its body above which its cancellation is waited for, because no request may start to run
	// half a second after its caller has left.
	maxDelay = 150 * time.Millisecond
	// cancelWait is how long a cancellation is waited for. A cancellation that arrived right behind its request on the same connection
	// took up to 57 ms to end the request.
	cancelWait = 60 * time.Millisecond
)

// isStillWanted reports whether the caller still waits for a request. It waits for the cancellation of a request that was delayed: a
// network that delays a request delays its cancellation, too, and then delivers both at once.
func isStillWanted(ctx context.Context, delay time.Duration) bool {
	return delay < maxDelay || wait.For(ctx, cancelWait)
}

// readBody reads a whole body into memory of a claim. It fails if there is no room, or if the body was delayed and the caller has left.
func readBody(r *http.Request, memory *httplimit.Claim) ([]byte, error) {
	limit := int64(maxRequestBytes)
	if r.ContentLength < 0 {
		// Instances announce the length of a body, so a request without one is faulty unless it is small.
		limit = httplimit.SmallBytes
	}
	started := time.Now()
	body, err := memory.ReadAll(r.Context(), r.Body, r.ContentLength, limit, false)
	if err == nil && !isStillWanted(r.Context(), time.Since(started)) {
		err = r.Context().Err()
	}
	return body, err
}

// writeResponse sends an upstream's response to the other instance.
func writeResponse(w http.ResponseWriter, response *gateway.Response, load gateway.Load, v Versions) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(headerResult, encodeResult(resultFields{
		code: code.OK, status: response.Status, load: load, waited: response.Waited, took: response.Took, versions: v,
	}))
	header.Set(headerForecast, encodeForecast(load))
	header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	// A nil value keeps the HTTP server from adding the header.
	header["Date"] = nil
	w.WriteHeader(http.StatusOK)
	// A failed write ends the connection, which the other instance notices.
	_, _ = w.Write(response.Body)
}

// writeFailure sends a failure to the other instance, with the reason as body.
func writeFailure(w http.ResponseWriter, f *gateway.Failure, load gateway.Load, v Versions) {
	header := w.Header()
	header.Set(headerResult, encodeResult(resultFields{
		code: f.Code, retryAfter: f.RetryAfter, arrived: f.Arrived, load: load, versions: v, owner: f.OwnerSlot,
	}))
	header.Set(headerForecast, encodeForecast(load))
	header.Set("Content-Type", "text/plain")
	header["Date"] = nil
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, f.Reason)
}
