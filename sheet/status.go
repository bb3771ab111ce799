package sheet

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"sapphiretray/code"
	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/table"

	"golang.org/x/sync/errgroup"
)

const (
	// callTimeout bounds asking one instance for its version.
	callTimeout = time.Second
	// maxConcurrentCalls bounds the connections that InstanceVersions opens at once.
	maxConcurrentCalls = 64
)

// InstanceVersion is the version of a row that is in effect at one instance.
type InstanceVersion struct {
	incarnation member.Incarnation
	version     uint64
	err         error
}

// Incarnation returns the incarnation that was asked.
func (v InstanceVersion) Incarnation() member.Incarnation { return v.incarnation }

// Version returns the version in effect at the instance; 0 if it has none or could not be asked.
func (v InstanceVersion) Version() uint64 { return v.version }

// Err returns why the instance could not be asked, or nil.
func (v InstanceVersion) Err() error { return v.err }

// Status is the accepted sheet and the versions of the sheet in effect at the instances.
type Status struct {
	entry    table.Accepted[Entry]
	versions []InstanceVersion
}

// Entry returns the accepted row; version 0 means that none was accepted yet.
func (s Status) Entry() table.Accepted[Entry] { return s.entry }

// Versions returns the versions of all instances whose records aren't left or expired, sorted by slot.
func (s Status) Versions() []InstanceVersion { return slices.Clone(s.versions) }

// ReadStatus reads the row of the sheet and asks the instances for their versions, see InstanceVersions.
func ReadStatus(ctx context.Context, c *table.Client) (Status, error) {
	entry, err := table.Read[Entry](ctx, c, RowKey)
	if err != nil {
		return Status{}, err
	}
	versions, err := InstanceVersions(ctx, c, RowKey)
	return Status{entry: entry, versions: versions}, err
}

// InstanceVersions asks each instance whose record isn't left or expired which version of the row with a key (config, sheet or pause) is in
// effect there. Instances that can't be asked are returned with their errors. The result is sorted by slot.
func InstanceVersions(ctx context.Context, c *table.Client, key string) ([]InstanceVersion, error) {
	rows, err := c.List(ctx, member.RowPrefix)
	if err != nil {
		return nil, err
	}
	var records []member.Record
	for _, row := range rows {
		var record member.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return nil, code.Wrap(code.PlatformDown, err, "decode row %s", row.Key)
		}
		if !record.State.Ended() {
			records = append(records, record)
		}
	}
	versions := make([]InstanceVersion, len(records))
	dialer := peer.NewDialer(&http.Transport{MaxResponseHeaderBytes: peer.MaxHeadBytes, IdleConnTimeout: callTimeout})
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for n, record := range records {
		group.Go(func() error {
			versions[n] = askVersion(ctx, dialer, record, key)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(versions, func(a, b InstanceVersion) int { return cmp.Compare(a.incarnation.Slot(), b.incarnation.Slot()) })
	return versions, nil
}

func askVersion(ctx context.Context, dialer *peer.Dialer, record member.Record, key string) InstanceVersion {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	instance, err := dialer.Dial(record.PeerAddress)
	if err != nil {
		return InstanceVersion{incarnation: record.Incarnation, err: err}
	}
	// Have is ignored for a single row. The response also holds the row's value, which isn't needed here.
	response, err := instance.Fetch(ctx, &peer.FetchRequest{Kind: key, Have: table.AnyVersion})
	return InstanceVersion{incarnation: record.Incarnation, version: response.GetVersion(), err: err}
}
