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

// flushEvents writes new events to the object store, where they outlive the instance. Batches that can't be written are
// kept as long as the ring holds them. The last batch is written when ctx ends.
func (i *Instance) flushEvents(ctx context.Context) {
	var done uint64
	for ctx.Err() == nil {
		wait.For(ctx, flushInterval)
		flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
		last, err := i.flushOnce(flush, done)
		cancel()
		if err != nil {
			klog.V(1).Infof("timeline: batch can't be written: %v", err)
			continue
		}
		done = last
	}
}

func (i *Instance) flushOnce(ctx context.Context, done uint64) (uint64, error) {
	events, _ := i.log.After(done)
	s := i.session.Load()
	if len(events) == 0 || s == nil {
		return done, nil
	}
	content, err := json.Marshal(events)
	if err != nil {
		return done, err
	}
	// The name holds both ends: a batch that is repeated after a lost answer has more events, and objects are written once.
	first, last := events[0].Sequence, events[len(events)-1].Sequence
	name := fmt.Sprintf("events/%s/%d/%d-%d", s.self.Slot(), s.self.Number(), first, last)
	return last, i.objects.Put(ctx, name, content)
}
