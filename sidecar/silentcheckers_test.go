package sidecar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sapphiretray/store"
)

// TestConfigAfterSilenceWithoutCheckers guards against a configuration that is in effect late on all instances because the instances that
// would check for changes are gone: the record of a process that was killed stays ready, and nobody sends it requests.
func TestConfigAfterSilenceWithoutCheckers(t *testing.T) {
	const bound = 2 * time.Second
	tests := []struct{ instances, failed int }{{12, 2}, {12, 4}, {12, 6}, {24, 4}, {24, 8}, {24, 12}, {60, 12}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d instances, %d failed", test.instances, test.failed), func(t *testing.T) {
			runConfigFleet(t, test.instances, func(f *configFleet) {
				order := slotsOf(checkers(f.instances[0].reachable()))
				if test.failed > len(order) {
					order = slotsOf(f.instances[0].reachable())
				}
				f.fail(order[:test.failed])
				time.Sleep(2 * time.Minute)
				if took := f.latestAfterSilence(); took > bound {
					t.Errorf("in effect on all instances after %v, want at most %v", took, bound)
				}
			})
		})
	}
}

// TestReadersCheckRows guards against readers that learn late of changed rows, because in a deployment with many data centres their calls
// for changes wait longer.
func TestReadersCheckRows(t *testing.T) {
	const (
		instances = 40
		// bound is the time within which readers have to learn of a change, and overhead that of the pause between two calls, of the
		// response that doesn't arrive and of the listing.
		bound, overhead = 3 * time.Second, 700 * time.Millisecond
	)
	for _, dataCentres := range []int{3, 5, 10} {
		t.Run(fmt.Sprint(dataCentres, " data centres"), func(t *testing.T) {
			var rows []store.Row
			for n := range instances {
				row := linkedRecordRow(t, n, 1, uint64(n+1))
				row.Value = []byte(strings.Replace(string(row.Value), fmt.Sprint("dc-", n%3), fmt.Sprint("dc-", n%dataCentres), 1))
				rows = append(rows, row)
			}
			for n := range instances {
				dataCentre := fmt.Sprint("dc-", n%dataCentres)
				sc := New(Settings{Slot: fmt.Sprint("10.0.0.", n), Service: "books", DataCentre: dataCentre}, Adapters{})
				sc.directory.apply(rows)
				if wait := sc.rowsWait(); sc.isReader() && wait > bound-overhead {
					t.Errorf("the reader in slot %s waits for changes for %v, want at most %v", sc.settings.Slot, wait, bound-overhead)
				}
			}
		})
	}
}
