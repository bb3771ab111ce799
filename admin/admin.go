// Package admin is a client of the instances' admin interface. It reads their statuses and events, and the member records and
// stored events from the table service and the object store.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"sapphiretray/code"
	"sapphiretray/httplimit"
	"sapphiretray/instance"
	"sapphiretray/member"
	"sapphiretray/object"
	"sapphiretray/table"
	"sapphiretray/timeline"
)

const (
	// callTimeout bounds a call to one instance.
	callTimeout = time.Second
	// maxConcurrentCalls bounds the calls that Ask makes at once.
	maxConcurrentCalls = 64
	// maxResponseBytes bounds the status or the events of one instance. maxMemory bounds those that are read at the same time.
	maxResponseBytes = 16 << 20
	maxMemory        = 8 * maxResponseBytes
)

var (
	client = &http.Client{Transport: httplimit.NewTransport()}
	limit  = httplimit.Limit{Max: maxResponseBytes, Memory: []*httplimit.Memory{httplimit.NewMemory(maxMemory)}}
)

// Members returns the newest record of each slot. The error carries code.PlatformDown if a row can't be decoded.
func Members(ctx context.Context, t *table.Client) ([]member.Record, error) {
	rows, err := t.List(ctx, member.RowPrefix)
	if err != nil {
		return nil, err
	}
	records := make([]member.Record, 0, len(rows))
	for _, row := range rows {
		var record member.Record
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return nil, code.Wrap(code.PlatformDown, err, "decode row %s", row.Key)
		}
		records = append(records, record)
	}
	return records, nil
}

// Status asks the instance at an admin address (host:port) for its status.
func Status(ctx context.Context, address string) (instance.Status, error) {
	var status instance.Status
	return status, get(ctx, "http://"+address+"/status", &status)
}

// Events asks the instance at an admin address (host:port) for the events that it keeps in memory.
func Events(ctx context.Context, address string) ([]timeline.Event, error) {
	var events []timeline.Event
	return events, get(ctx, "http://"+address+"/events", &events)
}

// StoredEvents returns the batches of events that instances have written to the object store. The error carries code.PlatformDown
// if a batch can't be decoded.
func StoredEvents(ctx context.Context, store *object.Client) ([][]timeline.Event, error) {
	names, err := store.List(ctx, "events/")
	if err != nil {
		return nil, err
	}
	batches := make([][]timeline.Event, 0, len(names))
	for _, name := range names {
		content, err := store.Get(ctx, name)
		if err != nil {
			return nil, err
		}
		var events []timeline.Event
		if err := json.Unmarshal(content, &events); err != nil {
			return nil, code.Wrap(code.PlatformDown, err, "decode object %s", name)
		}
		batches = append(batches, events)
	}
	return batches, nil
}

// Response is the response of one instance, or the error that prevented one.
type Response[T any] struct {
	Record member.Record
	Value  T
	Err    error
}

// Ask asks all members concurrently and returns the responses in the order of the members. Members that have left or expired, or
// have no admin address, aren't asked and get an error.
func Ask[T any](ctx context.Context, members []member.Record, ask func(ctx context.Context, address string) (T, error)) []Response[T] {
	responses := make([]Response[T], len(members))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for n, m := range members {
		responses[n].Record = m
		if m.State.Ended() || m.AdminAddress == "" {
			responses[n].Err = fmt.Errorf("%s is %s", m.Incarnation, m.State)
			continue
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			responses[n].Value, responses[n].Err = ask(ctx, m.AdminAddress)
		})
	}
	group.Wait()
	return responses
}

// get decodes the JSON response to a GET request into the value that into points to.
func get(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d", url, resp.StatusCode)
	}
	content, err := limit.ReadAll(ctx, resp)
	if err != nil {
		return err
	}
	return json.Unmarshal(content, into)
}
