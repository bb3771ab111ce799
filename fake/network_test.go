package fake_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"sapphiretray/bubble"
	"sapphiretray/fake"
)

const (
	networkAddress = "10.0.0.1:80"
	networkLatency = 5 * time.Millisecond
)

// networkPair returns both ends of a connection with networkLatency in each direction.
func networkPair(t *testing.T) (dialled, accepted *fake.NetworkConn) {
	t.Helper()
	n := &fake.Network{Latency: func(_, _ netip.AddrPort) time.Duration { return networkLatency }}
	l, err := n.Listen(networkAddress)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := n.DialContext(t.Context(), "tcp", networkAddress)
	if err != nil {
		t.Fatal(err)
	}
	other, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return conn.(*fake.NetworkConn), other.(*fake.NetworkConn)
}

// TestNetworkClose guards against ends of connections that differ from those of TCP, on which tests of lost requests rely.
func TestNetworkClose(t *testing.T) {
	tests := []struct {
		name string
		// end acts on the connection, and read is what the dialled end then reads.
		end  func(dialled, accepted *fake.NetworkConn)
		read string
		err  error
	}{
		{"data before the end arrives", func(_, accepted *fake.NetworkConn) {
			_, _ = io.WriteString(accepted, "abc")
			_ = accepted.Close()
		}, "abc", nil},
		{"half close", func(_, accepted *fake.NetworkConn) {
			_, _ = io.WriteString(accepted, "abc")
			_ = accepted.CloseWrite()
		}, "abc", nil},
		{"unread data", func(dialled, accepted *fake.NetworkConn) {
			_, _ = io.WriteString(dialled, "request")
			time.Sleep(networkLatency)
			synctest.Wait()
			_ = accepted.Close()
		}, "", syscall.ECONNRESET},
		{"data after the close", func(dialled, accepted *fake.NetworkConn) {
			_, _ = io.WriteString(accepted, "abc")
			_, _ = io.WriteString(dialled, "request")
			_ = accepted.Close()
		}, "abc", nil},
		{"linger of zero", func(_, accepted *fake.NetworkConn) {
			_ = accepted.SetLinger(0)
			_ = accepted.Close()
		}, "", syscall.ECONNRESET},
		{"injected reset", func(_, accepted *fake.NetworkConn) {
			_, _ = io.WriteString(accepted, "lost")
			accepted.Reset()
		}, "", syscall.ECONNRESET},
		{"held data", func(dialled, accepted *fake.NetworkConn) {
			dialled.Hold(time.Second)
			_, _ = io.WriteString(accepted, "abc")
			_ = accepted.Close()
		}, "abc", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				dialled, accepted := networkPair(t)
				test.end(dialled, accepted)
				content, err := io.ReadAll(dialled)
				if string(content) != test.read || !errors.Is(err, test.err) {
					t.Errorf("read %q, %v, want %q, %v", content, err, test.read, test.err)
				}
			})
		})
	}
}

// TestNetworkReset guards against writes that succeed for ever although the other end is closed.
func TestNetworkReset(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		dialled, accepted := networkPair(t)
		_ = accepted.Close()
		if _, err := io.WriteString(dialled, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * networkLatency)
		synctest.Wait()
		if _, err := dialled.Write([]byte("b")); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("write after the reset: %v, want %v", err, syscall.ECONNRESET)
		}
	})
}

// TestNetworkDeadlines guards against deadlines that end no waiting read or write.
func TestNetworkDeadlines(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		dialled, _ := networkPair(t)
		started := time.Now()
		_ = dialled.SetDeadline(started.Add(time.Second))
		_, readErr := dialled.Read(make([]byte, 1))
		_, writeErr := dialled.Write(make([]byte, 1<<20))
		for _, err := range []error{readErr, writeErr} {
			var timeout net.Error
			if !errors.Is(err, os.ErrDeadlineExceeded) || !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("error %v, want a timeout", err)
			}
		}
		if took := time.Since(started); took != time.Second {
			t.Errorf("took %v, want 1s", took)
		}
	})
}

// TestNetworkRefusal guards against failed dials that package forward doesn't tell from failures of an open connection.
func TestNetworkRefusal(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := new(fake.Network)
		_, err := n.DialContext(t.Context(), "tcp", networkAddress)
		var operation *net.OpError
		if !errors.As(err, &operation) || operation.Op != "dial" || !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("error %v, want a refused dial", err)
		}
		l, err := n.Listen(networkAddress)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := n.DialContext(context.Background(), "tcp", networkAddress)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("connection that wasn't accepted: %v, want %v", err, syscall.ECONNRESET)
		}
	})
}

// TestNetworkHoldAccept guards against a process that accepts late but to which connecting fails or waits.
func TestNetworkHoldAccept(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		n := new(fake.Network)
		l, err := n.Listen(networkAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		n.HoldAccept(networkAddress, time.Second)
		started := time.Now()
		dialled, err := n.DialContext(t.Context(), "tcp", networkAddress)
		if err != nil || !time.Now().Equal(started) {
			t.Fatalf("dial took %v: %v", time.Since(started), err)
		}
		defer func() { _ = dialled.Close() }()
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = accepted.Close() }()
		if took := time.Since(started); took != time.Second {
			t.Errorf("accepted after %v, want 1s", took)
		}
	})
}
