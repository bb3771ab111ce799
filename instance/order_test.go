package instance

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphiretray/config"
	"sapphiretray/member"
	"sapphiretray/table"
)

// TestRowsTakeEffectInOrder guards against an older configuration, or an older incarnation of an instance, that replaces a newer one
// because rows from the table and from another instance arrive at the same time.
func TestRowsTakeEffectInOrder(t *testing.T) {
	const routes = 20_000
	record := func(version uint64) table.Row {
		incarnation := member.NewIncarnation("b", version)
		value, err := json.Marshal(member.Record{Incarnation: incarnation, Service: "bookings", State: member.Ready})
		if err != nil {
			t.Fatal(err)
		}
		return table.Row{Key: member.RowPrefix + "b", Version: version, Value: value}
	}
	configuration := func(version uint64, routes int) table.Row {
		var entries []string
		for n := range routes {
			entries = append(entries, fmt.Sprintf(`{"prefix":"/r%d/","service":"bookings"}`, n))
		}
		value := fmt.Sprintf(`{"version":%d,"value":{"version":%d,"routes":[%s]}}`, version, version, strings.Join(entries, ","))
		return table.Row{Key: config.RowKey, Version: version, Value: []byte(value)}
	}
	i := newPollingInstance(t, &faultyObjects{})
	var group sync.WaitGroup
	group.Go(func() {
		// Decoding the large configuration takes some time.
		i.apply(0, table.Changes{Rows: []table.Row{configuration(10, routes), record(11)}, Revision: 11})
	})
	for i.rowCache.Revision() < 11 {
		time.Sleep(100 * time.Microsecond)
	}
	i.apply(11, table.Changes{Rows: []table.Row{configuration(12, 1), record(13)}, Revision: 13})
	group.Wait()
	if current := i.routes.current.Load(); current.Version() != 12 {
		t.Errorf("configuration %d is in effect, want 12", current.Version())
	}
	if newest := member.NewIncarnation("b", 13); i.directory.ended(newest) {
		t.Errorf("%s counts as ended", newest)
	}
	if older := member.NewIncarnation("b", 11); !i.directory.ended(older) {
		t.Errorf("%s doesn't count as ended", older)
	}
}
