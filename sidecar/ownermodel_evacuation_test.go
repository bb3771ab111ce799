package sidecar

import (
	"fmt"
	"slices"
	"time"

	"sapphiretray/store"
)

// ownerRowDelay is the longest time that a row of the operator takes to an instance.
const ownerRowDelay = 3 * time.Second

// evacuates reports whether the operator evacuates data centres in this seed.
func (m *ownerModel) evacuates() bool { return m.seed%3 == 0 }

// evacuate evacuates one data centre or both for a while, again and again. Each second seed ends with an evacuated one.
func (m *ownerModel) evacuate() {
	var d *draws
	m.locked(func() { d = m.draw("evacuate") })
	for isFaulty := true; isFaulty; isFaulty = m.isFaulty() {
		time.Sleep(d.between(100*time.Millisecond, 5*time.Second))
		n := d.IntN(2)
		m.locked(func() { m.setEvacuated(n, !m.evacuated[n]) })
	}
	m.locked(func() {
		m.setEvacuated(0, false)
		m.setEvacuated(1, m.seed%2 == 0)
	})
}

// setEvacuated begins or ends the evacuation of a data centre. m.mu must be held.
func (m *ownerModel) setEvacuated(dataCentre int, evacuated bool) {
	m.evacuated[dataCentre] = evacuated
	m.operatorVersion++
	m.operatorRows[dataCentre] = store.Row{
		Table: ownerConfigTable, Key: fmt.Sprint("evacuate/dc", dataCentre), Version: m.operatorVersion, Deleted: !evacuated,
	}
	m.record("operator: dc%d evacuated: %v", dataCentre, evacuated)
	m.totals["evacuations"]++
	row := m.operatorRows[dataCentre]
	for _, n := range m.nodes {
		if p := n.process; p != nil {
			// A row that arrives after a newer one with its key is ignored. The operator's rows outlast the eras of the store.
			time.AfterFunc(m.draw("operator row").between(time.Millisecond, ownerRowDelay), func() {
				delivered := row
				delivered.Version = store.NewVersion(store.Era(p.sc.config.Version()), row.Version)
				p.sc.config.Merge([]store.Row{delivered})
			})
		}
	}
}

// listOperatorRows returns the rows of the operator that exist, and the version of the newest change.
func (m *ownerModel) listOperatorRows() ([]store.Row, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := []store.Row{{Table: ownerConfigTable, Key: ownerConfigKey, Version: 1}}
	for _, row := range m.operatorRows {
		if row.Version > 0 && !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows, m.operatorVersion
}

// checkLeft checks that no key is held in an evacuated data centre while another one has upstreams. mu must be held.
func (m *ownerModel) checkLeft() {
	open := m.hasOpenNode()
	for _, u := range m.runs {
		for k := range u.keys {
			if open && u.up && m.isEvacuated(u.node) && u.keys[k].isHeld(time.Now()) {
				m.violate("key in an evacuated data centre", m.samples[k], "%s holds it %v after the last trouble", u.name, ownerCalmTime)
			}
		}
	}
}

// hasOpenNode reports whether a node that isn't lost is outside of the evacuated data centres. m.mu must be held.
func (m *ownerModel) hasOpenNode() bool {
	return slices.ContainsFunc(m.nodes, func(n *ownerNode) bool { return !n.lost && !m.isEvacuated(n) })
}

// isEvacuated reports whether the data centre of a node is evacuated. m.mu must be held.
func (m *ownerModel) isEvacuated(n *ownerNode) bool {
	return m.evacuated[0] && n.dataCentre == "dc0" || m.evacuated[1] && n.dataCentre == "dc1"
}
