package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"sapphiretray/config"
	"sapphiretray/fake"
	"sapphiretray/measure"
	"sapphiretray/member"
	"sapphiretray/object"
	"sapphiretray/partition"
	"sapphiretray/planner"
	"sapphiretray/table"
)

const (
	controlService = "bookings"
	otherService   = "parents"
	otherRegion    = "elsewhere"
	controlSettle  = 10 * time.Second
	perInstance    = 64
	milli          = 1000
)

// ControlSpec describes a measurement of what control costs a node.
type ControlSpec struct {
	// Processes is the number of instances that run.
	Processes int
	// Members and Partitions add records and a map of a second service, so that each process holds the state of a larger deployment.
	Members    int
	Partitions int
	// Duration is the time over which the cost is measured, after the deployment has settled.
	Duration time.Duration
}

// ControlResult is what control costs; per-node figures are the mean and the largest over the processes.
type ControlResult struct {
	Processes         int     `json:"processes"`
	Members           int     `json:"members"`
	Partitions        int     `json:"partitions"`
	CPUPercent        float64 `json:"cpu_percent"`
	CPUPercentMax     float64 `json:"cpu_percent_max"`
	MemoryMB          float64 `json:"memory_mb"`
	MemoryMBMax       float64 `json:"memory_mb_max"`
	SentKBps          float64 `json:"sent_kb_per_second"`
	SentKBpsMax       float64 `json:"sent_kb_per_second_max"`
	ReceivedKBps      float64 `json:"received_kb_per_second"`
	TableReadsPerSec  float64 `json:"platform_reads_per_second"`
	TableWritesPerSec float64 `json:"platform_writes_per_second"`
	Expiries          int     `json:"lease_expiries"`
	ConfigSeconds     float64 `json:"config_in_effect_seconds"`
}

// MeasureControl runs a deployment without requests and measures what it costs.
func MeasureControl(ctx context.Context, executable, dir string, spec ControlSpec) (ControlResult, error) {
	partitions := 1
	for partitions < spec.Processes*perInstance {
		partitions *= 2
	}
	c, err := controlConfig(partitions, 1)
	if err != nil {
		return ControlResult{}, err
	}
	write := func(t *table.Client, o *object.Client) error { return populate(ctx, t, o, spec) }
	d, err := Start(ctx, executable, c, controlSpecs(spec.Processes), WithDir(dir), WithTable(write))
	if err != nil {
		return ControlResult{}, err
	}
	defer func() { _ = d.Close() }()
	if err := d.AwaitServing(ctx, controlService, partitions); err != nil {
		return ControlResult{}, err
	}
	time.Sleep(controlSettle)
	result, err := d.sampleControl(ctx, spec)
	if err != nil {
		return result, err
	}
	result.ConfigSeconds, err = d.timeConfig(ctx, partitions)
	return result, err
}

func controlConfig(partitions, importance int) (config.Config, error) {
	return config.Parse([]byte(fmt.Sprintf(`{"services": [{"name": "bookings", "partitions": %d}],
		"routes": [{"prefix": "/bookings", "service": "bookings", "key": "path:2", "importance": %d}]}`, partitions, importance)))
}

func controlSpecs(n int) []Spec {
	specs := make([]Spec, n)
	for k := range specs {
		specs[k] = Spec{
			Slot: fmt.Sprintf("node-%d", k+1), DataCentre: fmt.Sprintf("centre-%d", k%5+1), Service: controlService,
			IP: fmt.Sprintf("127.0.%d.%d", 1+k/200, 1+k%200), Capacity: 1, Slots: 6,
			Options: []fake.UpstreamOption{fake.WithSlots(6), fake.WithGrantCheck()},
		}
	}
	return specs
}

// populate writes the records and the map of a second service.
func populate(ctx context.Context, t *table.Client, o *object.Client, spec ControlSpec) error {
	const batch = 200
	var incarnations []member.Incarnation
	var writes []table.Write
	for k := range spec.Members {
		i := member.NewIncarnation(fmt.Sprintf("far-%d", k), 1)
		incarnations = append(incarnations, i)
		value, err := json.Marshal(member.Record{
			Incarnation: i, Service: otherService, DataCentre: fmt.Sprintf("centre-%d", k%5+1), Region: otherRegion,
			PeerAddress: "127.0.0.1:1", HeartbeatAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:1", AdminAddress: "127.0.0.1:1",
			Capacity: 1, Witnesses: []string{"far-1", "far-2", "far-3", "far-4", "far-5"}, State: member.Ready,
		})
		if err != nil {
			return err
		}
		writes = append(writes, table.Write{Key: member.RowKey(i.Slot()), Value: value})
	}
	for chunk := range slices.Chunk(writes, batch) {
		if _, err := t.Commit(ctx, table.Transaction{Writes: chunk}); err != nil {
			return err
		}
	}
	if spec.Partitions == 0 || len(incarnations) < partition.Replicas {
		return nil
	}
	return populateMap(ctx, t, o, incarnations, spec.Partitions)
}

func populateMap(ctx context.Context, t *table.Client, o *object.Client, incarnations []member.Incarnation, partitions int) error {
	m, err := partition.New(otherService, partitions)
	if err != nil {
		return err
	}
	moves := make([]partition.Move, partitions)
	for p := range moves {
		at := func(n int) member.Incarnation { return incarnations[(p+n)%len(incarnations)] }
		moves[p] = partition.Move{Partition: p, Entry: partition.Entry{Epoch: 1, Members: []member.Incarnation{at(0), at(1), at(2)}}}
	}
	if m, err = m.Apply(1, moves); err != nil {
		return err
	}
	content, err := m.Encode()
	if err != nil {
		return err
	}
	name := planner.MapKey(otherService) + "/1"
	if err := o.Put(ctx, name, content); err != nil {
		return err
	}
	value, err := json.Marshal(planner.MapRow{Version: 1, Partitions: partitions, Snapshot: name, SnapshotVersion: 1, Write: "measure"})
	if err != nil {
		return err
	}
	_, err = t.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: planner.MapKey(otherService), Value: value}}})
	return err
}

type sample struct {
	cpu            time.Duration
	sent, received uint64
}

func (d *Deployment) sampleControl(ctx context.Context, spec ControlSpec) (ControlResult, error) {
	result := ControlResult{Processes: spec.Processes, Members: spec.Members + spec.Processes, Partitions: spec.Partitions}
	before, err := d.samples(ctx)
	if err != nil {
		return result, err
	}
	reads, writes := d.platform.Counts()
	began := time.Now()
	time.Sleep(spec.Duration)
	seconds := time.Since(began).Seconds()
	after, err := d.samples(ctx)
	if err != nil {
		return result, err
	}
	readsAfter, writesAfter := d.platform.Counts()
	result.TableReadsPerSec = float64(readsAfter-reads) / seconds
	result.TableWritesPerSec = float64(writesAfter-writes) / seconds
	count := float64(len(d.nodes))
	for n, node := range d.nodes {
		cpu := 100 * (after[n].cpu - before[n].cpu).Seconds() / seconds
		sent := float64(after[n].sent-before[n].sent) / milli / seconds
		result.CPUPercent += cpu / count
		result.CPUPercentMax = math.Max(result.CPUPercentMax, cpu)
		result.SentKBps += sent / count
		result.SentKBpsMax = math.Max(result.SentKBpsMax, sent)
		result.ReceivedKBps += float64(after[n].received-before[n].received) / milli / seconds / count
		memory, err := residentMB(node.PID())
		if err != nil {
			return result, err
		}
		result.MemoryMB += memory / count
		result.MemoryMBMax = math.Max(result.MemoryMBMax, memory)
	}
	for _, e := range d.Events(ctx) {
		if e.Chart == "lease" && e.Trigger == "expired" {
			result.Expiries++
		}
	}
	return result, nil
}

func (d *Deployment) samples(ctx context.Context) ([]sample, error) {
	samples := make([]sample, len(d.nodes))
	for n, node := range d.nodes {
		status, err := node.Status(ctx)
		if err != nil {
			return nil, err
		}
		samples[n] = sample{sent: status.Control.SentBytes, received: status.Control.ReceivedBytes}
		if samples[n].cpu, err = measure.ProcessorTime(node.PID()); err != nil {
			return nil, err
		}
	}
	return samples, nil
}

// residentMB returns the resident memory of a process in megabytes.
func residentMB(pid int) (float64, error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d: no VmRSS", pid)
}

// timeConfig accepts a configuration and returns the seconds until it is in effect at every instance.
func (d *Deployment) timeConfig(ctx context.Context, partitions int) (float64, error) {
	next, err := controlConfig(partitions, 2)
	if err != nil {
		return 0, err
	}
	accepted, err := config.Apply(ctx, d.table, next, 1, "measure", "time to take effect")
	if err != nil {
		return 0, err
	}
	began := time.Now()
	for _, node := range d.nodes {
		for {
			status, err := node.Status(ctx)
			if err == nil && status.Config >= accepted.Version {
				break
			}
			if time.Since(began) > startTimeout {
				return 0, fmt.Errorf("configuration %d is not in effect at %s", accepted.Version, node.Slot())
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(began).Seconds(), nil
}

// WriteControl prints results as a table.
func WriteControl(w io.Writer, results []ControlResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "processes\tmembers\tpartitions\tcpu %\tmax\tmemory MB\tmax\tsent KB/s\tmax\treceived KB/s\t"+
		"reads/s\twrites/s\texpiries\tconfig s")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%d\t%.2f\n", r.Processes,
			r.Members, r.Partitions, r.CPUPercent, r.CPUPercentMax, r.MemoryMB, r.MemoryMBMax, r.SentKBps, r.SentKBpsMax, r.ReceivedKBps,
			r.TableReadsPerSec, r.TableWritesPerSec, r.Expiries, r.ConfigSeconds)
	}
	return t.Flush()
}
