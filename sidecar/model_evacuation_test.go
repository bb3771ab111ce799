package sidecar

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sapphiretray/store"
)

const (
	// modelEvacuationLimit is the limit for evacuations, and modelPropagation the longest time that a row takes to an instance. Some
	// instances outside of the data centre are cut off and get it within modelCutOff.
	modelEvacuationLimit = 3 * time.Second
	modelPropagation     = 1500 * time.Millisecond
	modelCutOff          = 8 * time.Second
)

// modelEvacuation is an evacuation of the data centre of a node. ended is zero until it is taken back.
type modelEvacuation struct {
	begun, ended time.Time
}

// dataCentre returns the name of the node's data centre.
func (n *modelNode) dataCentre() string {
	if n.m.evacuating {
		return "dc-" + n.slot
	}
	return "dc"
}

// evacuate evacuates the data centres of one or several nodes at overlapping times and takes that back.
func (m *model) evacuate() {
	d := m.draw("evacuate")
	for m.evacuating && !m.isEnded() {
		time.Sleep(d.between(100*time.Millisecond, 6*time.Second))
		node := m.nodes[d.IntN(modelNodes)]
		m.locked(func() { m.setEvacuated(node, !node.isEvacuated()) })
		m.group.Go(func() { m.pressEvacuated(node) })
	}
	m.locked(func() {
		for _, node := range m.nodes {
			if node.isEvacuated() {
				m.setEvacuated(node, false)
			}
		}
	})
}

// pressEvacuated sends requests for keys of an evacuated node to the other nodes around the limit.
func (m *model) pressEvacuated(node *modelNode) {
	i := node.instance()
	if i == nil {
		return
	}
	time.Sleep(modelEvacuationLimit - 300*time.Millisecond)
	for n := range 2 * modelNodes {
		other := m.nodes[n%modelNodes]
		if other == node {
			continue
		}
		c := m.newCaller(m.draw("pressingEvacuated"), other, fmt.Sprintf("e%d%s%d", time.Since(m.started).Milliseconds(), node.slot, n))
		c.keysOf, c.writes = i, true
		m.group.Go(func() {
			defer c.close()
			for n := 0; n < 8 && c.connect(); n++ {
				c.exchange(fmt.Sprintf("%s-%d", c.name, n))
			}
		})
	}
}

// isEvacuated reports whether the data centre of the node is evacuated. m.mu must be held.
func (n *modelNode) isEvacuated() bool {
	return !n.evacuation.begun.IsZero() && n.evacuation.ended.IsZero()
}

// setEvacuated begins or ends the evacuation of the data centre of a node. m.mu must be held.
func (m *model) setEvacuated(node *modelNode, evacuated bool) {
	if evacuated {
		node.evacuation = modelEvacuation{begun: time.Now()}
	} else {
		node.evacuation.ended = time.Now()
	}
	m.rowVersion++
	row := store.Row{Key: "evacuate/" + node.dataCentre(), Version: m.rowVersion, Deleted: !evacuated}
	m.operatorRows[row.Key] = row
	m.record("", "operator: %s evacuated: %v", node.dataCentre(), evacuated)
	for _, other := range m.nodes {
		i := other.current
		if i == nil {
			continue
		}
		d := m.newDraws("evacuation", row.Version, other.slot)
		delay := d.between(time.Millisecond, modelPropagation)
		if other != node && d.chance(0.5) {
			delay = d.between(modelPropagation, modelCutOff)
		}
		// A row that arrives after a newer one with its key is ignored.
		time.AfterFunc(delay, func() { i.sc.config.Merge([]store.Row{row}) })
	}
}

// listOperatorRows returns a function that lists the operator's rows as they are now. Newer ones arrive with setEvacuated.
func (m *model) listOperatorRows() func() []store.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows := slices.Collect(maps.Values(m.operatorRows))
	return func() []store.Row { return rows }
}

// checkEvacuation checks that a run doesn't begin in an evacuated data centre after the limit. m.mu must be held.
func (m *model) checkEvacuation(upstream string, r *modelRequest) {
	for _, node := range m.nodes {
		late := time.Since(node.evacuation.begun) - modelEvacuationLimit
		if node.upstream.name == upstream && node.isEvacuated() && late > 0 {
			m.violate("request reaches an evacuated data centre", r, fmt.Sprintf("%v after the limit", late))
		}
	}
}
