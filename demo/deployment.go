// Package demo brings up a deployment on loopback: a stand-in of the platform, stand-ins of upstreams, and an instance as a
// process of its own beside each upstream.
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
	startTimeout  = time.Minute
	pollInterval  = 20 * time.Millisecond
	headerTimeout = 5 * time.Second
)

// Spec describes one instance and its upstream.
type Spec struct {
	Slot       string
	DataCentre string
	Service    string
	// IP is the loopback address of the instance.
	IP       string
	Capacity float64
	Slots    int
	Options  []fake.UpstreamOption
	// Relayed puts a relay before the instance's peer and heartbeat addresses, so that tests can cut it off.
	Relayed bool
}

// Deployment is a running set of instances.
type Deployment struct {
	executable string
	dir        string
	platform   *fake.Platform
	table      *table.Client
	address    string
	nodes      []*Node
	populate   func(t *table.Client, o *object.Client) error
	group      *errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
}

// Option changes a Deployment under construction.
type Option func(*Deployment)

// WithDir keeps settings and logs in a folder.
func WithDir(dir string) Option { return func(d *Deployment) { d.dir = dir } }

// WithTable sets a function that writes to the platform before the instances start.
func WithTable(write func(t *table.Client, o *object.Client) error) Option {
	return func(d *Deployment) { d.populate = write }
}

// Start brings up the platform, and an upstream and an instance for each spec. The executable is run with the arguments "run
// --settings FILE".
func Start(ctx context.Context, executable string, c config.Config, specs []Spec, options ...Option) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	d := &Deployment{executable: executable, platform: &fake.Platform{}, group: group, ctx: ctx, cancel: cancel}
	for _, option := range options {
		option(d)
	}
	var err error
	if d.address, err = d.serve(d.platform.Handler(), "127.0.0.1"); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	d.table = table.New("http://" + d.address)
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

// Platform returns the stand-in of the platform.
func (d *Deployment) Platform() *fake.Platform { return d.platform }

// PlatformURL returns the base URL of the table service and the object store.
func (d *Deployment) PlatformURL() string { return "http://" + d.address }

// Nodes returns the instances in the order of their specs.
func (d *Deployment) Nodes() []*Node { return d.nodes }

// serve starts an HTTP server on a free port.
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
	n.settings = filepath.Join(d.dir, spec.Slot+".yaml")
	content, err := yaml.Marshal(n.document())
	if err != nil {
		return nil, err
	}
	d.nodes = append(d.nodes, n)
	return n, os.WriteFile(n.settings, content, 0o600)
}

// freeAddress returns an address whose port was free a moment ago. Instances should have IP addresses of their own, since their
// outgoing connections take free ports of their address too.
func freeAddress(ctx context.Context, ip string) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// AwaitServing waits until each partition of a service is served by an instance.
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

// Owner returns the node that serves a partition of a service, and nil if none does.
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

// Close ends all processes and servers.
func (d *Deployment) Close() error {
	for _, n := range d.nodes {
		n.Kill()
		n.upstream.Close()
	}
	d.cancel()
	return d.group.Wait()
}
