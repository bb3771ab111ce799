// Package demo runs a deployment on loopback: a fake platform and fake upstreams in this process, and for each upstream an instance
// in a separate process. The demo command, the measurements of whole deployments and end-to-end tests use it.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"sapphiretray/config"
	"sapphiretray/fake"
	"sapphiretray/object"
	"sapphiretray/table"
	"sapphiretray/wait"
)

const (
	// startTimeout bounds the wait for all partitions to be served, and for a configuration to take effect.
	startTimeout  = time.Minute
	pollInterval  = 20 * time.Millisecond
	headerTimeout = 5 * time.Second
)

// Spec describes one instance and its upstream.
type Spec struct {
	// Slot is the name of the instance's slot. It is unrelated to Slots.
	Slot       string
	DataCentre string
	Service    string
	// IP is the loopback address of the instance and its upstream.
	IP string
	// Capacity is relative to that of the other instances of the service.
	Capacity float64
	// Slots is the number of the upstream's concurrency slots in the instance's settings; less than 1 means 1. Options set the number
	// that the fake upstream has.
	Slots int
	// Options configure the fake upstream.
	Options []fake.UpstreamOption
	// StopTimeout is the timeout of a planned stop; 0 selects the default of the settings.
	StopTimeout time.Duration
	// Relayed puts a relay in front of the instance's peer and heartbeat addresses, which Cut and Isolate require.
	Relayed bool
}

// Deployment is a running fake platform with instances and their upstreams.
type Deployment struct {
	executable      string
	dir             string
	platform        *fake.Platform
	table           *table.Client
	platformAddress string
	nodes           []*Node
	populate        func(t *table.Client, o *object.Client) error
	group           *errgroup.Group
	ctx             context.Context
	cancel          context.CancelFunc
}

// Option configures a Deployment.
type Option func(*Deployment)

// WithDir sets the folder of settings and log files, which is the current folder otherwise.
func WithDir(dir string) Option { return func(d *Deployment) { d.dir = dir } }

// WithPlatformData sets a function that writes to the platform's table and object store before the instances start.
func WithPlatformData(write func(t *table.Client, o *object.Client) error) Option {
	return func(d *Deployment) { d.populate = write }
}

// Start starts the platform with a first configuration, then an upstream and an instance for each spec. The executable is run with
// the arguments "run --settings FILE". Start doesn't wait for the instances; AwaitServing does.
func Start(ctx context.Context, executable string, c config.Config, specs []Spec, options ...Option) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d := &Deployment{executable: executable, platform: &fake.Platform{}, group: group, ctx: ctx, cancel: cancel}
	for _, option := range options {
		option(d)
	}
	var err error
	if d.platformAddress, err = d.serve(d.platform.Handler(), "127.0.0.1"); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	d.table = table.New("http://" + d.platformAddress)
	if _, err := config.Apply(ctx, d.table, c, 0, "demo", "first configuration"); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	if d.populate != nil {
		if err := d.populate(d.table, object.New(d.PlatformURL())); err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	for _, spec := range specs {
		n, err := d.addNode(spec)
		if err == nil {
			err = n.Start()
		}
		if err != nil {
			return nil, errors.Join(err, d.Close())
		}
	}
	return d, nil
}

// Platform returns the fake table service and object store.
func (d *Deployment) Platform() *fake.Platform { return d.platform }

// PlatformURL returns the base URL of the table service and the object store.
func (d *Deployment) PlatformURL() string { return "http://" + d.platformAddress }

// Nodes returns the instances in the order of their specs.
func (d *Deployment) Nodes() []*Node { return d.nodes }

// serve starts an HTTP server on a free port and returns its host:port.
func (d *Deployment) serve(handler http.Handler, ip string) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	d.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	d.group.Go(func() error {
		<-d.ctx.Done()
		return server.Close()
	})
	return listener.Addr().String(), nil
}

// addNode starts the upstream and the relay of an instance and writes its settings.
func (d *Deployment) addNode(spec Spec) (*Node, error) {
	n := &Node{deployment: d, spec: spec, upstream: fake.NewUpstream(spec.Options...)}
	listener, err := (&net.ListenConfig{}).Listen(d.ctx, "tcp", net.JoinHostPort(spec.IP, "0"))
	if err != nil {
		return nil, err
	}
	n.upstreamAddress = listener.Addr().String()
	d.group.Go(func() error {
		_ = n.upstream.Serve(listener)
		return nil
	})
	for _, address := range []*string{&n.callers, &n.peers, &n.admin} {
		if *address, err = freeAddress(d.ctx, spec.IP); err != nil {
			return nil, err
		}
	}
	n.advertised = n.peers
	if spec.Relayed {
		if n.relay, err = fake.NewRelay(d.ctx, spec.IP, n.peers); err != nil {
			return nil, err
		}
		n.advertised = n.relay.Address()
		d.group.Go(func() error { return n.relay.Run(d.ctx) })
	}
	n.settingsFile = filepath.Join(d.dir, spec.Slot+".yaml")
	content, err := yaml.Marshal(n.settingsDocument())
	if err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, os.WriteFile(n.settingsFile, content, 0o600)
}

// freeAddress returns a host:port that was free when it was checked. Each instance should have its own IP address: outgoing
// connections of other processes on the same address could take the port before the instance listens on it.
func freeAddress(ctx context.Context, ip string) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// AwaitServing waits up to startTimeout until each partition of a service is served by an instance with a valid lease.
func (d *Deployment) AwaitServing(ctx context.Context, service string, partitions int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		served := map[int]string{}
		for _, n := range d.nodes {
			status, err := n.Status(ctx)
			if err != nil || status.Service != service || !status.LeaseValid {
				continue
			}
			for p := range status.Serving {
				served[p] = n.spec.Slot
			}
		}
		if len(served) >= partitions {
			return nil
		}
		if !wait.For(ctx, pollInterval) {
			return fmt.Errorf("%d of %d partitions of %s are served: %w", len(served), partitions, service, ctx.Err())
		}
	}
}

// Owner returns the instance that serves a partition of a service, or nil if none does.
func (d *Deployment) Owner(ctx context.Context, service string, p int) *Node {
	for _, n := range d.nodes {
		status, err := n.Status(ctx)
		if err == nil && status.Service == service && status.LeaseValid {
			if _, ok := status.Serving[p]; ok {
				return n
			}
		}
	}
	return nil
}

// Close kills all processes and stops all servers.
func (d *Deployment) Close() error {
	for _, n := range d.nodes {
		n.Kill()
		n.upstream.Close()
	}
	d.cancel()
	return d.group.Wait()
}
