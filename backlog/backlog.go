// Package backlog accepts the connections that the kernel has established for a listener before the listener is closed. Closing it resets
// those that haven't been accepted, and what has been sent on them.
package backlog

import (
	"context"
	"fmt"
	"net"
	"time"

	"sapphiretray/wait"
)

const (
	// timeout bounds the wait until the backlog has been accepted.
	timeout = time.Second
	// checkInterval is the time between two checks.
	checkInterval = time.Millisecond
)

// DialFunc connects to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Await waits until a listener's connections that have been established are accepted, for at most a second or until ctx ends. They are
// accepted in the order of their establishment, so that is when a connection that Await opens itself has been accepted, which isAccepted
// reports for its remote address (host:port). Connections must be accepted meanwhile. dial opens that connection; nil selects the machine's
// network. The error is that of opening the connection, or that of the context.
func Await(ctx context.Context, l net.Listener, dial DialFunc, isAccepted func(remote string) bool) error {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	last, err := dial(ctx, l.Addr().Network(), l.Addr().String())
	if err != nil {
		return fmt.Errorf("backlog: %w", err)
	}
	defer func() { _ = last.Close() }()
	for !isAccepted(last.LocalAddr().String()) {
		if !wait.For(ctx, checkInterval) {
			return fmt.Errorf("backlog: %w", ctx.Err())
		}
	}
	return nil
}
