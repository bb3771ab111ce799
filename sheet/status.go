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
	askTimeout = time.Second
	// askAtOnce bounds the connections that one status call opens at a time.
	askAtOnce = 64
)

// Holder says which version of a row an instance has in effect.
type Holder struct {
	incarnation member.Incarnation
	version     uint64
	err         error
}

// Incarnation returns the instance.
func (h Holder) Incarnation() member.Incarnation { return h.incarnation }

// Version returns the version in effect there; 0 if it has none or could not be asked.
func (h Holder) Version() uint64 { return h.version }

// Err returns why the instance could not be asked, or nil.
func (h Holder) Err() error { return h.err }

// Status is the sheet in effect and the instances that have it.
type Status struct {
	entry   table.Accepted[Entry]
	holders []Holder
}

// Entry returns the accepted row; version 0 means that none was accepted yet.
func (s Status) Entry() table.Accepted[Entry] { return s.entry }

// Holders returns all instances that have not left, sorted by slot.
func (s Status) Holders() []Holder { return slices.Clone(s.holders) }

// ReadStatus reads the row and asks each instance that has not left for its version.
func ReadStatus(ctx context.Context, c *table.Client) (Status, error) {
	entry, err := table.Read[Entry](ctx, c, RowKey)
	if err != nil {
		return Status{}, err
	}
	holders, err := Holders(ctx, c, RowKey)
	return Status{entry: entry, holders: holders}, err
}

// Holders asks each instance that has not left which version of a row it has: config, sheet or pause.
func Holders(ctx context.Context, c *table.Client, kind string) ([]Holder, error) {
	rows, err := c.List(ctx, member.RowPrefix)
	if err != nil {
		return nil, err
	}
	var records []member.Record
	for _, row := range rows {
		var record member.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return nil, code.Wrap(code.PlatformDown, err, "row %s", row.Key)
		}
		if !record.State.Gone() {
			records = append(records, record)
		}
	}
	holders := make([]Holder, len(records))
	client := &http.Client{Timeout: askTimeout}
	var group errgroup.Group
	group.SetLimit(askAtOnce)
	for n, record := range records {
		group.Go(func() error {
			holders[n] = ask(ctx, client, record, kind)
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(holders, func(a, b Holder) int { return cmp.Compare(a.incarnation.Slot(), b.incarnation.Slot()) })
	return holders, nil
}

func ask(ctx context.Context, client *http.Client, record member.Record, kind string) Holder {
	instance := peer.NewPeerProtobufClient("http://"+record.PeerAddress, client)
	// No instance has a newer version than the highest number, so the answer holds the version without the content.
	answer, err := instance.Fetch(ctx, &peer.FetchRequest{Kind: kind, Have: table.AnyVersion})
	return Holder{incarnation: record.Incarnation, version: answer.GetVersion(), err: err}
}
