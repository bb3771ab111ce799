// Package admin is a client of the admin interface of instances: their status and their events.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/instance"
	"sapphiretray/member"
	"sapphiretray/object"
	"sapphiretray/table"
	"sapphiretray/timeline"
)

const (
	callTimeout = time.Second
	callsAtOnce = 64
)

// Members returns the newest record of each slot.
func Members(ctx context.Context, t *table.Client) ([]member.Record, error) {
	rows, err := t.List(ctx, member.RowPrefix)
	if err != nil {
		return nil, err
	}
	records := make([]member.Record, 0, len(rows))
	for _, row := range rows {
		var record member.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return nil, code.Wrap(code.PlatformDown, err, "row %s", row.Key)
		}
		records = append(records, record)
	}
	return records, nil
}

// Status asks the instance at an admin address for its state.
func Status(ctx context.Context, address string) (instance.Status, error) {
	var status instance.Status
	return status, get(ctx, "http://"+address+"/status", &status)
}

// Events asks the instance at an admin address for the events that it holds.
func Events(ctx context.Context, address string) ([]timeline.Event, error) {
	var events []timeline.Event
	return events, get(ctx, "http://"+address+"/events", &events)
}

// StoredEvents returns the batches of events in the object store.
func StoredEvents(ctx context.Context, store *object.Client) ([][]timeline.Event, error) {
	names, err := store.List(ctx, "events/")
	if err != nil {
		return nil, err
	}
	logs := make([][]timeline.Event, 0, len(names))
	for _, name := range names {
		content, err := store.Get(ctx, name)
		if err != nil {
			return nil, err
		}
		var events []timeline.Event
		if err := json.Unmarshal(content, &events); err != nil {
			return nil, code.Wrap(code.PlatformDown, err, "object %s", name)
		}
		logs = append(logs, events)
	}
	return logs, nil
}

// Answer is what one instance answered, or why it did not.
type Answer[T any] struct {
	Record member.Record
	Value  T
	Err    error
}

// Ask asks all members that have not gone, a bounded number at once, and returns the answers in the order of the members.
func Ask[T any](ctx context.Context, members []member.Record, ask func(ctx context.Context, address string) (T, error)) []Answer[T] {
	answers := make([]Answer[T], len(members))
	slots := make(chan struct{}, callsAtOnce)
	var group sync.WaitGroup
	for n, m := range members {
		answers[n].Record = m
		if m.State.Gone() || m.AdminAddress == "" {
			answers[n].Err = fmt.Errorf("%s is %s", m.Incarnation, m.State)
			continue
		}
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answers[n].Value, answers[n].Err = ask(ctx, m.AdminAddress)
		})
	}
	group.Wait()
	return answers
}

func get(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d", url, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}
