package demo

import (
	"context"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"sapphiretray/admin"
	"sapphiretray/fake"
	"sapphiretray/instance"
	"sapphiretray/timeline"
)

// Node is an instance in its own process, with its upstream.
type Node struct {
	deployment   *Deployment
	spec         Spec
	upstream     *fake.Upstream
	relay        *fake.Relay
	settingsFile string

	// The addresses are host:port pairs. The instance listens on callers, on peers (for heartbeats, too) and on admin; advertised is
	// the address for peers that it publishes, which is that of the relay if there is one.
	callers, peers, admin, advertised, upstreamAddress string

	mu      sync.Mutex
	command *exec.Cmd
	// done is closed when the process has ended, after err was set.
	done chan struct{}
	err  error
}

// settingsDocument returns the content of the instance's settings file.
func (n *Node) settingsDocument() map[string]any {
	platform := n.deployment.PlatformURL()
	timeouts := make(map[string]any)
	if stop := n.spec.StopTimeout; stop > 0 {
		timeouts["stop"], timeouts["drain"] = stop.String(), (stop / 2).String()
	}
	return map[string]any{
		"slot": n.spec.Slot, "region": "loopback", "data_centre": n.spec.DataCentre, "service": n.spec.Service,
		"capacity":  n.spec.Capacity,
		"listen":    map[string]any{"callers": n.callers, "peers": n.peers, "heartbeats": n.peers, "admin": n.admin},
		"advertise": map[string]any{"peers": n.advertised, "heartbeats": n.advertised},
		"platform":  map[string]any{"table": platform, "object": platform},
		"upstream":  map[string]any{"url": "http://" + n.upstreamAddress, "checks_grants": true, "slots": max(n.spec.Slots, 1)},
		"timeouts":  timeouts,
		"log":       map[string]any{"verbosity": 1},
	}
}

// Slot returns the name of the slot.
func (n *Node) Slot() string { return n.spec.Slot }

// IP returns the loopback address of the instance.
func (n *Node) IP() string { return n.spec.IP }

// URL returns the base URL for callers.
func (n *Node) URL() string { return "http://" + n.callers }

// UpstreamURL returns the base URL of the upstream.
func (n *Node) UpstreamURL() string { return "http://" + n.upstreamAddress }

// Upstream returns the fake upstream.
func (n *Node) Upstream() *fake.Upstream { return n.upstream }

// Relay returns the relay in front of the instance, or nil if it has none.
func (n *Node) Relay() *fake.Relay { return n.relay }

// Start starts the process, also again after it has ended. Its output is appended to the log file.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(n.deployment.ctx, n.deployment.executable, "run", "--settings", n.settingsFile)
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "SAPPHIRETRAY_MAIN=1")
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.command, n.done = command, done
	n.mu.Unlock()
	n.deployment.group.Go(func() error {
		err := command.Wait()
		n.mu.Lock()
		n.err = err
		n.mu.Unlock()
		close(done)
		return log.Close()
	})
	return nil
}

// PID returns the id of the process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.command.Process.Pid
}

func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(s)
	}
}

// Kill ends the process with SIGKILL, also if it is frozen.
func (n *Node) Kill() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
}

// Freeze suspends the process until Thaw.
func (n *Node) Freeze() { n.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (n *Node) Thaw() { n.signal(syscall.SIGCONT) }

// Stop starts a graceful shutdown and doesn't wait for its end.
func (n *Node) Stop() { n.signal(syscall.SIGTERM) }

// Wait waits for the process to end and returns its error.
func (n *Node) Wait(ctx context.Context) error {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	select {
	case <-done:
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Log returns the output of all runs of the process, or the text of the error if it can't be read.
func (n *Node) Log() string {
	content, err := os.ReadFile(n.settingsFile + ".log")
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// Status returns the instance's status from its admin address.
func (n *Node) Status(ctx context.Context) (instance.Status, error) {
	return admin.Status(ctx, n.admin)
}

// Events returns the instance's recent events from its admin address.
func (n *Node) Events(ctx context.Context) ([]timeline.Event, error) {
	return admin.Events(ctx, n.admin)
}
