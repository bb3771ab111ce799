package ingress_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"sapphiretray/ingress"
)

// startHTTP2 starts a server that accepts HTTP/1 and HTTP/2 and whose connections are tracked, until the test ends.
func startHTTP2(t *testing.T, connections *ingress.Connections) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Listener = connections.Listen(server.Listener)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	connections.Attach(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// TestDrainOfHTTP2 guards against HTTP/2 connections that are closed without telling their callers which requests have not begun, or for
// which the stop of the process waits.
func TestDrainOfHTTP2(t *testing.T) {
	connections := ingress.NewConnections(noLimits, prometheus.NewRegistry())
	server := startHTTP2(t, connections)
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		_ = server.Listener.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if left := connections.Drain(ctx); left > 0 {
			t.Errorf("%d connections are left", left)
		}
	}
}

// TestDrainWithHTTP2 guards against connections of HTTP/1 that are taken for HTTP/2 because of their first bytes, and so not drained.
func TestDrainWithHTTP2(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
	}{
		{"in one part", []string{get}},
		{"first bytes of the preface", []string{"P", "OST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"}},
		{"method of the preface", []string{"PRI", " / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			connections := ingress.NewConnections(noLimits, prometheus.NewRegistry())
			server := startHTTP2(t, connections)
			conn := dial(t, server)
			for _, part := range test.parts {
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, part)
			}
			if status := readStatus(t, conn); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			_ = server.Listener.Close()
			if left := connections.Drain(t.Context()); left > 0 {
				t.Errorf("%d connections are left", left)
			}
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v", err)
			}
		})
	}
}
