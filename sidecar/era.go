package sidecar

import (
	"time"

	"k8s.io/klog/v2"

	"sapphiretray/store"
)

// eraWait is how long after the begin of an era of the store its key maps are restored. Instances learn of the era with the next
// heartbeats, and those whose records are lost write them again within restoreInterval, so that all that may hold keys are known. Grants
// of processes that have ended by its start have expired.
const eraWait = lostMapWait

// noteEra records that the store has begun another era if one of the rows is of it. Incarnations and key maps may then be lost that this
// process has never known. mu must be held.
func (d *directory) noteEra(rows []store.Row) {
	before := d.era
	for _, row := range rows {
		d.era = max(d.era, store.Era(row.Version))
	}
	if d.era == before || d.listed.IsZero() && len(d.registered) == 0 && len(d.maps) == 0 {
		return
	}
	d.listed, d.listedUpTo = time.Now(), store.NewVersion(d.era, store.MaxCounter)
	klog.InfoS("directory: new era of the store", "from", before, "to", d.era, "records", len(d.records), "maps", len(d.maps))
}
