package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sapphiretray/wait"

	"k8s.io/klog/v2"
)

// flushInterval is the time between two batches of events; a batch is only written if there are new events.
const flushInterval = 10 * time.Second

// flushEvents writes new events to the object store, where they outlive the instance. Events that can't be written are
// retried with the next batch, unless the log has dropped them by then. The last batch is written when ctx ends.
func (i *Instance) flushEvents(ctx context.Context) {
	var flushed uint64
	for ctx.Err() == nil {
		wait.For(ctx, flushInterval)
		flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
		last, err := i.flushOnce(flushCtx, flushed)
		cancel()
		if err != nil {
			klog.V(1).Infof("timeline: batch can't be written: %v", err)
			continue
		}
		flushed = last
	}
}

// flushOnce writes the events after sequence number flushed as one object and returns the last sequence number written.
func (i *Instance) flushOnce(ctx context.Context, flushed uint64) (uint64, error) {
	events, _ := i.log.After(flushed)
	s := i.session.Load()
	if len(events) == 0 || s == nil {
		return flushed, nil
	}
	content, err := json.Marshal(events)
	if err != nil {
		return flushed, err
	}
	// The name contains the first and the last sequence number, because objects can't be overwritten and a batch that is
	// written again after a lost response may have more events.
	first, last := events[0].Sequence, events[len(events)-1].Sequence
	name := fmt.Sprintf("events/%s/%d/%d-%d", s.self.Slot(), s.self.Number(), first, last)
	return last, i.objects.Put(ctx, name, content)
}
