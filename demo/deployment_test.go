package demo_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"sapphiretray/config"
	"sapphiretray/demo"
	"sapphiretray/fake"
	"sapphiretray/partition"
)

// executable is the program under test, built once for all tests of the package.
var executable string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "sapphiretray")
	if err != nil {
		panic(err)
	}
	executable = filepath.Join(dir, "sapphiretray")
	if output, err := exec.Command("go", "build", "-o", executable, "sapphiretray").CombinedOutput(); err != nil {
		fmt.Printf("%s", output)
		panic(err)
	}
	result := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(result)
}

const bookingPartitions = 16

// bookingsConfig returns a configuration with bookingPartitions partitions of one service.
func bookingsConfig(t *testing.T) config.Config {
	t.Helper()
	c, err := config.Parse([]byte(`{
		"services": [{"name": "bookings", "partitions": 16}],
		"routes": [{"prefix": "/bookings", "service": "bookings", "key": "path:2", "importance": 5, "timeout": "3s"}]
	}`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// specs returns n equal instances, spread over three data centres.
func specs(n int, relayed bool) []demo.Spec {
	var specs []demo.Spec
	for k := range n {
		specs = append(specs, demo.Spec{
			Slot: fmt.Sprintf("slot-%d", k+1), DataCentre: []string{"north", "central", "south"}[k%3], Service: "bookings",
			IP: fmt.Sprintf("127.0.0.%d", k+11), Capacity: 1, Slots: 6, Relayed: relayed,
			Options: []fake.UpstreamOption{
				fake.WithSlots(6), fake.WithServiceTime(2 * time.Millisecond), fake.WithGrantCheck(),
			},
		})
	}
	return specs
}

// startDeployment starts n instances and waits until all partitions are served. If the test fails, their logs and events are printed.
func startDeployment(t *testing.T, n int, relayed bool) *demo.Deployment {
	t.Helper()
	return startSpecs(t, specs(n, relayed))
}

// startSpecs starts the instances of the given specs as startDeployment does.
func startSpecs(t *testing.T, s []demo.Spec) *demo.Deployment {
	t.Helper()
	d, err := demo.Start(context.WithoutCancel(t.Context()), executable, bookingsConfig(t), s, demo.WithDir(t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			logDeployment(t, d)
		}
		_ = d.Close()
	})
	if err := d.AwaitServing(t.Context(), "bookings", bookingPartitions); err != nil {
		t.Fatal(err)
	}
	return d
}

func logDeployment(t *testing.T, d *demo.Deployment) {
	t.Helper()
	for _, n := range d.Nodes() {
		log := n.Log()
		t.Logf("log of %s:\n%s", n.Slot(), log[max(0, len(log)-1500):])
	}
	for _, e := range d.Events(context.Background()) {
		t.Log(e)
	}
}

// partitionOf returns the partition of a key in the deployment under test.
func partitionOf(t *testing.T, key string) int {
	t.Helper()
	m, err := partition.New("bookings", bookingPartitions)
	if err != nil {
		t.Fatal(err)
	}
	return m.Partition(key)
}

// TestRequestEndToEnd guards against a request that fails, or doesn't run exactly once at the upstream of the key's owner, whichever
// instance receives it. Each instance is a separate process.
func TestRequestEndToEnd(t *testing.T) {
	d := startDeployment(t, 3, false)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	client := demo.NewClient()
	for k := range 8 {
		key := fmt.Sprintf("club-%d", k)
		owner := d.Owner(ctx, "bookings", partitionOf(t, key))
		for _, n := range d.Nodes() {
			id := fmt.Sprintf("%s-%s", key, n.Slot())
			response, err := client.Post(ctx, n.URL()+"/bookings/"+key, id, []byte("two riders"))
			if err != nil || response.Status != http.StatusOK {
				t.Fatalf("key %s through %s: %+v, %v", key, n.Slot(), response, err)
			}
			runs := 0
			for _, effect := range owner.Upstream().Effects() {
				if effect.ID == id {
					runs++
				}
			}
			if runs != 1 {
				t.Errorf("request %s ran %d times at the owner %s", id, runs, owner.Slot())
			}
		}
	}
}
