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
	// remoteService and remoteRegion belong to the additional member records, which have no processes.
	remoteService = "parents"
	remoteRegion  = "elsewhere"
	// settleTime is the time between the start and the measurement.
	settleTime            = 10 * time.Second
	partitionsPerInstance = 64
	bytesPerKB            = 1000
)

// ControlSpec describes a measurement of the cost of the control plane per instance: lease renewals, heartbeats and configuration.
type ControlSpec struct {
	// Processes is the number of instances to run, each in its own process.
	Processes int
	// Members is the number of additional member records and Partitions the size of an additional partition map, both of a second
	// service, so that each instance holds the state of a larger deployment.
	Members    int
	Partitions int
	// Duration is the measured time, which begins once the deployment has settled.
	Duration time.Duration
}

// ControlResult is the cost of the control plane. Figures per instance are means, and maxima in the fields that end in Max. 1 KB is 1000
// bytes. Members includes the instances that run, and Expiries counts expired leases since the start. The platform is the table service
// and the object store. ConfigSeconds is the time until a new configuration is in effect at every instance.
type ControlResult struct {
	Processes            int     `json:"processes"`
	Members              int     `json:"members"`
	Partitions           int     `json:"partitions"`
	CPUPercent           float64 `json:"cpu_percent"`
	CPUPercentMax        float64 `json:"cpu_percent_max"`
	MemoryMiB            float64 `json:"memory_mb"`
	MemoryMiBMax         float64 `json:"memory_mb_max"`
	SentKBps             float64 `json:"sent_kb_per_second"`
	SentKBpsMax          float64 `json:"sent_kb_per_second_max"`
	ReceivedKBps         float64 `json:"received_kb_per_second"`
	PlatformReadsPerSec  float64 `json:"platform_reads_per_second"`
	PlatformWritesPerSec float64 `json:"platform_writes_per_second"`
	Expiries             int     `json:"lease_expiries"`
	ConfigSeconds        float64 `json:"config_in_effect_seconds"`
}

// MeasureControl runs a deployment without requests and measures the cost of its control plane. Settings and logs go into dir.
func MeasureControl(ctx context.Context, executable, dir string, spec ControlSpec) (ControlResult, error) {
	partitions := 1
	for partitions < spec.Processes*partitionsPerInstance {
		partitions *= 2
	}
	c, err := controlConfig(partitions, 1)
	if err != nil {
		return ControlResult{}, err
	}
	write := func(t *table.Client, o *object.Client) error { return writeRemoteMembers(ctx, t, o, spec) }
	d, err := Start(ctx, executable, c, numberedSpecs(spec.Processes), WithDir(dir), WithPlatformData(write))
	if err != nil {
		return ControlResult{}, err
	}
	defer func() { _ = d.Close() }()
	if err := d.AwaitServing(ctx, controlService, partitions); err != nil {
		return ControlResult{}, err
	}
	time.Sleep(settleTime)
	result, err := d.measureControl(ctx, spec)
	if err != nil {
		return result, err
	}
	result.ConfigSeconds, err = d.timeConfig(ctx, partitions)
	return result, err
}

// controlConfig returns a configuration with one service and one route. Another importance gives a new version of it.
func controlConfig(partitions, importance int) (config.Config, error) {
	return config.Parse([]byte(fmt.Sprintf(`{"services": [{"name": "bookings", "partitions": %d}],
		"routes": [{"prefix": "/bookings", "service": "bookings", "key": "path:2", "importance": %d}]}`, partitions, importance)))
}

// numberedSpecs returns n equal instances, spread over five data centres, each with its own loopback address.
func numberedSpecs(n int) []Spec {
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

// writeRemoteMembers writes the additional member records and, if there are enough of them, the additional partition map.
func writeRemoteMembers(ctx context.Context, t *table.Client, o *object.Client, spec ControlSpec) error {
	const batch = 200
	var incarnations []member.Incarnation
	var writes []table.Write
	for k := range spec.Members {
		i := member.NewIncarnation(fmt.Sprintf("far-%d", k), 1)
		incarnations = append(incarnations, i)
		value, err := json.Marshal(member.Record{
			Incarnation: i, Service: remoteService, DataCentre: fmt.Sprintf("centre-%d", k%5+1), Region: remoteRegion,
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
	if spec.Partitions == 0 || len(incarnations) < partition.MaxMembers {
		return nil
	}
	return writeRemoteMap(ctx, t, o, incarnations, spec.Partitions)
}

// writeRemoteMap writes the partition map of the additional members, in which each partition has three consecutive members.
func writeRemoteMap(ctx context.Context, t *table.Client, o *object.Client, incarnations []member.Incarnation, partitions int) error {
	m, err := partition.New(remoteService, partitions)
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
	name := planner.MapKey(remoteService) + "/1"
	if err := o.Put(ctx, name, content); err != nil {
		return err
	}
	value, err := json.Marshal(planner.MapRow{Version: 1, Partitions: partitions, Snapshot: name, SnapshotVersion: 1, WriteID: "measure"})
	if err != nil {
		return err
	}
	_, err = t.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: planner.MapKey(remoteService), Value: value}}})
	return err
}

// usage is the CPU time and the control traffic in bytes of one process since its start.
type usage struct {
	cpu            time.Duration
	sent, received uint64
}

// measureControl measures the running deployment for spec.Duration.
func (d *Deployment) measureControl(ctx context.Context, spec ControlSpec) (ControlResult, error) {
	result := ControlResult{Processes: spec.Processes, Members: spec.Members + spec.Processes, Partitions: spec.Partitions}
	before, err := d.usages(ctx)
	if err != nil {
		return result, err
	}
	reads, writes := d.platform.Counts()
	began := time.Now()
	time.Sleep(spec.Duration)
	seconds := time.Since(began).Seconds()
	after, err := d.usages(ctx)
	if err != nil {
		return result, err
	}
	readsAfter, writesAfter := d.platform.Counts()
	result.PlatformReadsPerSec = float64(readsAfter-reads) / seconds
	result.PlatformWritesPerSec = float64(writesAfter-writes) / seconds
	count := float64(len(d.nodes))
	for n, node := range d.nodes {
		cpu := 100 * (after[n].cpu - before[n].cpu).Seconds() / seconds
		sent := float64(after[n].sent-before[n].sent) / bytesPerKB / seconds
		result.CPUPercent += cpu / count
		result.CPUPercentMax = math.Max(result.CPUPercentMax, cpu)
		result.SentKBps += sent / count
		result.SentKBpsMax = math.Max(result.SentKBpsMax, sent)
		result.ReceivedKBps += float64(after[n].received-before[n].received) / bytesPerKB / seconds / count
		memory, err := residentMiB(node.PID())
		if err != nil {
			return result, err
		}
		result.MemoryMiB += memory / count
		result.MemoryMiBMax = math.Max(result.MemoryMiBMax, memory)
	}
	for _, e := range d.Events(ctx) {
		if e.Chart == "lease" && e.Trigger == "expired" {
			result.Expiries++
		}
	}
	return result, nil
}

// usages returns the resource usage of each instance.
func (d *Deployment) usages(ctx context.Context) ([]usage, error) {
	usages := make([]usage, len(d.nodes))
	for n, node := range d.nodes {
		status, err := node.Status(ctx)
		if err != nil {
			return nil, err
		}
		usages[n] = usage{sent: status.Control.SentBytes, received: status.Control.ReceivedBytes}
		if usages[n].cpu, err = measure.ProcessorTime(node.PID()); err != nil {
			return nil, err
		}
	}
	return usages, nil
}

// residentMiB returns the resident memory of a process in MiB.
func residentMiB(pid int) (float64, error) {
	content, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kib / 1024, err
		}
	}
	return 0, fmt.Errorf("process %d: no VmRSS in its status", pid)
}

// timeConfig applies a new configuration and returns the seconds until it is in effect at every instance.
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
				return 0, fmt.Errorf("configuration version %d did not take effect at %s in time", accepted.Version, node.Slot())
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(began).Seconds(), nil
}

// WriteControl prints results as a table.
func WriteControl(w io.Writer, results []ControlResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "processes\tmembers\tpartitions\tcpu %\tmax\tmemory MiB\tmax\tsent KB/s\tmax\treceived KB/s\t"+
		"reads/s\twrites/s\texpiries\tconfig s")
	for _, r := range results {
		_, _ = fmt.Fprintf(t, "%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%d\t%.2f\n", r.Processes,
			r.Members, r.Partitions, r.CPUPercent, r.CPUPercentMax, r.MemoryMiB, r.MemoryMiBMax, r.SentKBps, r.SentKBpsMax, r.ReceivedKBps,
			r.PlatformReadsPerSec, r.PlatformWritesPerSec, r.Expiries, r.ConfigSeconds)
	}
	return t.Flush()
}
