package ingress

import (
	"errors"
	"net"
	"syscall"

	"k8s.io/klog/v2"
)

// hasPending reports whether data that hasn't been read has arrived on a connection. It doesn't wait. A connection without a file
// descriptor can have a method HasPending; otherwise it has no such data.
func hasPending(conn net.Conn) bool {
	if p, ok := conn.(interface{ HasPending() bool }); ok {
		return p.HasPending()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		klog.V(1).InfoS("callers: no access to a connection", "err", err)
		return false
	}
	var n int
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		for {
			n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			if !errors.Is(peekErr, syscall.EINTR) {
				return
			}
		}
	})
	if err != nil {
		klog.V(1).InfoS("callers: no access to a connection", "err", err)
	}
	return err == nil && peekErr == nil && n > 0
}
