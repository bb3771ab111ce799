package sidecar

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"sapphiretray/member"
	"sapphiretray/peer"
	"sapphiretray/routing"
	"sapphiretray/store"
)

// TestConfigAfterSilence guards against a configuration that is in effect late on all instances because none of their calls for changes
// is answered any more, so that nobody has the configuration and announces it.
func TestConfigAfterSilence(t *testing.T) {
	const (
		bound = 2 * time.Second
		// contact is the time after the loss of a connection from which on the bound holds.
		contact = 3 * time.Second
	)
	tests := []struct {
		name string
		// begin makes calls for changes unanswered.
		begin func(s *configStore)
		// after is the time from there to the change.
		after time.Duration
		// failed is the number of instances that have failed, unnoticed by the others: those that check the configuration most often.
		failed int
		// left is the number of instances that have left before: those that checked the configuration most often.
		left int
	}{
		{"calls forgotten, change at once", (*configStore).forget, 0, 0, 0},
		{"calls forgotten, change in contact", (*configStore).forget, 2500 * time.Millisecond, 0, 0},
		{"calls forgotten, change at once, two checkers failed", (*configStore).forget, 0, 2, 0},
		{"calls forgotten, change at once, six instances left", (*configStore).forget, 0, 0, 6},
		{"calls forgotten, change at once, six instances left, two checkers failed", (*configStore).forget, 0, 2, 6},
		{"store silent for 4 s, change in contact", func(s *configStore) { s.beSilent(4 * time.Second) }, 3 * time.Second, 0, 0},
		{"store silent for 9 s, change in contact", func(s *configStore) { s.beSilent(9 * time.Second) }, 3 * time.Second, 0, 0},
		{"feed silent for good, change at once", (*configStore).silenceFeed, 0, 0, 0},
		{"feed silent for good after the store was for 9 s, change in contact", func(s *configStore) {
			s.silenceFeed()
			s.beSilent(9 * time.Second)
		}, 3 * time.Second, 0, 0},
		{"feed refused, change at once", (*configStore).refuseFeed, 0, 0, 0},
		{"feed refused, change in contact", (*configStore).refuseFeed, 20 * time.Second, 0, 0},
		{"feed silent for good, change in contact", (*configStore).silenceFeed, 20 * time.Second, 0, 0},
		{"calls forgotten after slow ones, change at once", forgetAfterSlow, 0, 0, 0},
		{"calls forgotten after slow ones, change in contact", forgetAfterSlow, time.Second, 0, 0},
	}
	for _, instances := range []int{1, 2, 12, 60} {
		for _, test := range tests {
			if instances <= test.failed+test.left {
				continue
			}
			t.Run(fmt.Sprintf("%d instances, %s", instances, test.name), func(t *testing.T) {
				runConfigFleet(t, instances, func(f *configFleet) {
					f.leave(t, slotsOf(checkers(f.instances[0].reachable())[:test.left]))
					f.fail(slotsOf(checkers(f.instances[0].reachable())[:test.failed]))
					test.begin(f.store)
					silent := time.Now()
					time.Sleep(test.after)
					written := time.Now()
					took := f.latest(written, f.store.put())
					if limit := max(bound, contact-written.Sub(silent)); took > limit {
						t.Errorf("in effect on all instances after %v, want at most %v", took, limit)
					}
				})
			})
		}
	}
}

// TestConfigAfterSilenceWithoutRecord guards against an instance that gets a configuration late because the others announce nothing to it:
// it isn't registered yet, or its record is that of an earlier incarnation, as after a restart.
func TestConfigAfterSilenceWithoutRecord(t *testing.T) {
	const bound = 2 * time.Second
	tests := []struct {
		name string
		// change changes the row of the instance.
		change func(row store.Row) store.Row
	}{
		{"not registered", func(row store.Row) store.Row {
			row.Deleted = true
			return row
		}},
		{"left", func(row store.Row) store.Row { return rowInState(row, member.Left) }},
		{"expired", func(row store.Row) store.Row { return rowInState(row, member.Expired) }},
	}
	for _, test := range tests {
		for _, instances := range []int{4, 12, 60} {
			t.Run(fmt.Sprintf("%s, %d instances", test.name, instances), func(t *testing.T) {
				runConfigFleet(t, instances, func(f *configFleet) {
					// The last instance is of a service whose instances send no heartbeats.
					row := test.change(linkedRecordRow(t, instances-1, 1, uint64(instances+1)))
					for _, sc := range f.instances {
						sc.rowsChanged([]store.Row{row}, store.Delivery{})
					}
					if took := f.latestAfterSilence(); took > bound {
						t.Errorf("in effect on all instances after %v, want at most %v", took, bound)
					}
				})
			})
		}
	}
}

// TestConfigAfterSilenceWithLoss guards against instances that get a configuration late because the datagrams that announce it to them are
// lost while no call for changes is answered.
func TestConfigAfterSilenceWithLoss(t *testing.T) {
	const (
		bound = 2 * time.Second
		share = 0.3
		seeds = 10
	)
	for _, instances := range []int{12, 60, 195} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%d instances, seed %d", instances, seed), func(t *testing.T) {
				runConfigFleet(t, instances, func(f *configFleet) {
					f.lose(share, seed)
					f.store.forget()
					written := time.Now()
					if took := f.latest(written, f.store.put()); took > bound {
						t.Errorf("in effect on all instances after %v, want at most %v", took, bound)
					}
				})
			})
		}
	}
}

// TestConfigAnnouncementsPerChange guards against announcements without end, and against ones whose number grows faster than that of the
// instances.
func TestConfigAnnouncementsPerChange(t *testing.T) {
	const perInstance = (1 + announcementRepeats) * (ringFanout + randomFanout)
	tests := []struct {
		instances, changes int
		// interval is the time between two changes.
		interval time.Duration
	}{
		{2, 1, 0},
		{12, 1, 0},
		{12, 5, 20 * time.Second},
		{12, 40, 50 * time.Millisecond},
		{195, 1, 0},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d instances, %d changes, every %v", test.instances, test.changes, test.interval), func(t *testing.T) {
			runConfigFleet(t, test.instances, func(f *configFleet) {
				f.announcements.Store(0)
				for range test.changes {
					f.store.put()
					time.Sleep(test.interval)
				}
				time.Sleep(time.Minute)
				sent := f.announcements.Load()
				if limit := int64(test.changes * test.instances * perInstance); sent == 0 || sent > limit {
					t.Errorf("%d announcements, want at most %d", sent, limit)
				}
				t.Logf("%d announcements", sent)
			})
		})
	}
}

// TestConfigCallsOfLargeFleets guards against checks of the configuration whose number grows with that of the instances: beyond the
// checkers, an instance makes a call for each long poll only, also while no instance reaches another one.
func TestConfigCallsOfLargeFleets(t *testing.T) {
	const (
		small, large = 20, 120
		// longPolls is the number of long polls of 15 to 20 s that begin in a minute.
		longPolls = 4
	)
	tests := []struct {
		name     string
		isolated bool
	}{
		{"sound links", false},
		{"no calls between instances", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			// The first minute has the calls after the start.
			calls := make(map[int][2]int)
			for _, instances := range []int{small, large} {
				runConfigFleet(t, instances, func(f *configFleet) {
					f.isolated.Store(test.isolated)
					var perMinute [2]int
					for minute := range perMinute {
						f.store.set(func() { f.store.calls = 0 })
						time.Sleep(time.Minute)
						f.store.set(func() { perMinute[minute] = f.store.calls })
					}
					calls[instances] = perMinute
				})
			}
			for minute := range calls[large] {
				if further := calls[large][minute] - calls[small][minute]; further > longPolls*(large-small) {
					t.Errorf("minute %d: %d calls with %d instances and %d with %d", minute, calls[small][minute], small,
						calls[large][minute], large)
				}
			}
			t.Logf("calls a minute: %d with %d instances and %d with %d", calls[small], small, calls[large], large)
		})
	}
}

// TestConfigInDoubt guards against a 404 for a route of a newer configuration, which callers don't retry, while an instance knows that it
// may not have the newest one because the store doesn't answer it.
func TestConfigInDoubt(t *testing.T) {
	tests := []struct {
		name  string
		begin func(s *configStore)
		// want is whether the configuration counts as outdated from then on.
		want bool
	}{
		{"nothing", func(*configStore) {}, false},
		{"all calls fail", func(s *configStore) {
			s.set(func() { s.down = true })
			s.forget()
		}, true},
		// A listing confirms that there is no newer one.
		{"calls forgotten", (*configStore).forget, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runConfigFleet(t, 1, func(f *configFleet) {
				sc := f.instances[0]
				test.begin(f.store)
				time.Sleep(2 * time.Second)
				if got := sc.isConfigOutdated(); got != test.want {
					t.Errorf("the configuration counts as outdated: %v", got)
				}
				f.store.set(func() { f.store.down = false })
				time.Sleep(2 * time.Second)
				if sc.isConfigOutdated() {
					t.Error("the configuration still counts as outdated after the store is back")
				}
			})
		})
	}
}

// TestConfigAnnouncementWithoutRow guards against an instance that counts as outdated until its restart, and so answers 503 instead of 404,
// after an announcement of a configuration that doesn't exist.
func TestConfigAnnouncementWithoutRow(t *testing.T) {
	const bound = 2 * time.Second
	tests := []struct {
		name string
		// announced holds the versions that are announced at intervals.
		announced []uint64
		interval  time.Duration
	}{
		{"once", []uint64{1000}, 0},
		{"the next version", []uint64{2}, 0},
		{"different versions at once", []uint64{1000, 2000, 3000}, 0},
		{"a newer one while the store is asked", []uint64{1000, 2000}, 402 * time.Millisecond},
		{"a newer one after the store was asked", []uint64{1000, 2000}, time.Second},
		{"the same one after the store was asked", []uint64{1000, 1000}, time.Second},
	}
	for _, instances := range []int{1, 12} {
		for _, test := range tests {
			t.Run(fmt.Sprintf("%d instances, %s", instances, test.name), func(t *testing.T) {
				runConfigFleet(t, instances, func(f *configFleet) {
					for _, version := range test.announced {
						// No instance runs in the slot.
						f.instances[0].observeHeartbeat("10.0.1.1", &peer.Versions{Config: version})
						time.Sleep(test.interval)
					}
					time.Sleep(bound)
					for _, sc := range f.instances {
						if sc.isConfigOutdated() {
							t.Errorf("%s counts as outdated %v after the announcement", sc.settings.Slot, bound)
						}
					}
					written := time.Now()
					if took := f.latest(written, f.store.put()); took > bound {
						t.Errorf("the next configuration is in effect on all instances after %v, want at most %v", took, bound)
					}
				})
			})
		}
	}
}

// TestConfigAfterUnknownAnnouncement guards against a configuration that instances get late because an announcement of a later version that
// the store doesn't have makes them ignore that of the configuration.
func TestConfigAfterUnknownAnnouncement(t *testing.T) {
	const bound = 2 * time.Second
	for _, instances := range []int{12, 60} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			runConfigFleet(t, instances, func(f *configFleet) {
				// No instance runs in the slot.
				f.instances[0].observeHeartbeat("10.0.1.1", &peer.Versions{Config: 1000})
				time.Sleep(bound)
				f.store.forget()
				written := time.Now()
				if took := f.latest(written, f.store.put()); took > bound {
					t.Errorf("the next configuration is in effect on all instances after %v, want at most %v", took, bound)
				}
			})
		})
	}
}

// TestRowsAfterSilence guards against readers that don't learn for 20 s that another writer has changed the rows, because none of their
// calls for changes is answered any more. An incarnation whose record was removed counts as absent unless it is written again within
// unlistedWait.
func TestRowsAfterSilence(t *testing.T) {
	// An instance that doesn't watch the store asks a reader every 6 s, and writes its record within restoreInterval.
	const bound = unlistedWait - 6*time.Second - restoreInterval
	runConfigFleet(t, 12, func(f *configFleet) {
		var readers []*Sidecar
		ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
		defer cancel()
		for _, sc := range f.instances {
			if sc.isReader() {
				readers = append(readers, sc)
				f.group.Go(func() { sc.rows.Run(ctx) })
			}
		}
		time.Sleep(time.Second)
		f.store.forget()
		written, version := time.Now(), f.store.put()
		for late := len(readers); late > 0 && time.Since(written) < time.Minute; time.Sleep(10 * time.Millisecond) {
			late = 0
			for _, sc := range readers {
				if sc.rows.Version() < version {
					late++
				}
			}
		}
		if took := time.Since(written); len(readers) != 3 || took > bound {
			t.Errorf("%d readers have the rows after %v, want at most %v", len(readers), took, bound)
		}
	})
}

// TestConfigAnnouncements guards against a configuration that an instance doesn't announce, so that others get it late, because it lacked
// an older one that was announced.
func TestConfigAnnouncements(t *testing.T) {
	tests := []struct {
		name string
		// announced is the newest version that another instance has announced before version 6 arrives, 0 for none.
		announced uint64
		// want holds the versions that the instance announces or passes on to the only other one.
		want []uint64
	}{
		{"nothing announced", 0, []uint64{6}},
		{"older one announced", 5, []uint64{5, 6}},
		{"the same one announced", 6, []uint64{6}},
		{"newer one announced", 7, []uint64{7}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sc := newLinkedSidecar(t, &slowLink{}, 2)
			sc.adapters.ConfigKey = "config"
			sc.adapters.DecodeConfig = func([]byte) (*routing.Table, error) { return routing.New(6, routing.Limits{}, nil, nil) }
			var announced []uint64
			sc.sendAnnouncement = func(_ member.Record, _ string, v *peer.Versions) error {
				announced = append(announced, v.GetConfig())
				return nil
			}
			if test.announced > 0 {
				// The slot isn't that of the other instance, which would not be told of its own announcement.
				sc.observeHeartbeat("10.0.0.9", &peer.Versions{Config: test.announced})
			}
			sc.config.Merge([]store.Row{{Key: "config", Version: 6}})
			if !slices.Equal(announced, test.want) {
				t.Errorf("announced %v, want %v", announced, test.want)
			}
		})
	}
}
