package main

import "time"

const (
	recovery = 15 * time.Second
	// replaceDelay is the time from the loss of a machine until another comes.
	replaceDelay = time.Second
	// sampledKeys is the number of keys, across the whole range, for which lookups are sent.
	sampledKeys = 40
	// rounds is the number of times that lookups are sent for the sampled keys after the recovery.
	rounds = 4
)

// servedShare sends a lookup for each of the sampled keys, in turn at the machines that run, and returns the share that is served.
func servedShare(b *bench) float64 {
	var running []*machine
	for _, m := range b.machines {
		if !m.removed {
			running = append(running, m)
		}
	}
	served := 0
	for n := range sampledKeys {
		key := n * (allKeys / sampledKeys)
		if a := b.sendKey(running[n%len(running)], "lookup", "GET", "/lookup/12", "", key, time.Second); a.status == 200 {
			served++
		}
	}
	b.log("%d of %d lookups are served", served, sampledKeys)
	return float64(served) / sampledKeys
}

// allReplaced removes all machines at the same moment, and starts as many at other addresses.
func allReplaced(b *bench) (int, error) {
	if err := prepare(b, bookingsConfig, keyedService, keyedService, keyedService, keyedService); err != nil {
		return cannot, err
	}
	before := servedShare(b)
	if b.trouble {
		first := b.machines
		for _, m := range first {
			m.remove()
		}
		time.Sleep(replaceDelay)
		for range first {
			b.addMachine(keyedService)
		}
		for _, m := range b.machines[len(first):] {
			if err := m.start(); err != nil {
				return cannot, err
			}
		}
		if err := b.awaitReady(10 * time.Second); err != nil {
			return cannot, err
		}
	}
	time.Sleep(recovery)
	after := 0.0
	for range rounds {
		after += servedShare(b) / rounds
		time.Sleep(5 * time.Second)
	}
	b.log("%.0f%% of the lookups were served before, %.0f%% later than %v after the machines are back", 100*before, 100*after, recovery)
	if before < 0.25 {
		return cannot, nil
	}
	if after < 0.25 {
		return broke, nil
	}
	return held, nil
}
