// Package chart implements state machines that follow the state charts in charts/*.yaml. Each change of state goes through
// Machine.Fire, which also records the event and logs it.
package chart

import (
	"embed"
	"fmt"
	"slices"
	"sync"

	"github.com/goccy/go-yaml"
	"k8s.io/klog/v2"

	"sapphiretray/timeline"
)

//go:embed charts/*.yaml
var chartFiles embed.FS

// Chart is a parsed state chart.
type Chart struct {
	name    string
	initial string
	// transitions holds the state after each transition.
	transitions map[transition]string
	states      []string
}

// transition identifies a transition by the state that it leaves and its trigger.
type transition struct{ from, trigger string }

// chartFile is the content of a YAML file. A transition is made from each of the states From when the trigger On occurs.
type chartFile struct {
	Chart       string `yaml:"chart"`
	Initial     string `yaml:"initial"`
	Transitions []struct {
		On   string   `yaml:"on"`
		From []string `yaml:"from"`
		To   string   `yaml:"to"`
	} `yaml:"transitions"`
}

// Load returns the chart in charts/NAME.yaml.
func Load(name string) (*Chart, error) {
	content, err := chartFiles.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("state chart %s: %w", name, err)
	}
	return Parse(content)
}

// MustLoad is like Load and panics on an error. It is meant for the charts that are embedded in the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse parses a chart from YAML. It returns an error if two transitions have the same state and trigger, or if a state that is
// left by a transition can't be reached.
func Parse(content []byte) (*Chart, error) {
	var f chartFile
	if err := yaml.UnmarshalWithOptions(content, &f, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	c := &Chart{name: f.Chart, initial: f.Initial, transitions: make(map[transition]string)}
	c.addState(f.Initial)
	for _, t := range f.Transitions {
		c.addState(t.To)
		for _, from := range t.From {
			key := transition{from, t.On}
			if _, ok := c.transitions[key]; ok {
				return nil, fmt.Errorf("state chart %s: two transitions from %s on %s", c.name, from, t.On)
			}
			c.transitions[key] = t.To
		}
	}
	for key := range c.transitions {
		if !slices.Contains(c.states, key.from) {
			return nil, fmt.Errorf("state chart %s: state %s can't be reached", c.name, key.from)
		}
	}
	return c, nil
}

func (c *Chart) addState(state string) {
	if !slices.Contains(c.states, state) {
		c.states = append(c.states, state)
	}
}

// Name returns the chart's name.
func (c *Chart) Name() string { return c.name }

// States returns the states in the order in which the file first mentions them as initial state or as target of a transition.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// Machine is a state machine that follows a chart. It is safe for concurrent use.
type Machine struct {
	chart *Chart
	// subject is what the state belongs to, such as an incarnation or a partition.
	subject string
	log     *timeline.Log
	mu      sync.Mutex
	state   string
}

// New returns a machine in the chart's initial state. Subject names what the state belongs to. The log may be nil.
func New(c *Chart, subject string, log *timeline.Log) *Machine {
	return &Machine{chart: c, subject: subject, log: log, state: c.initial}
}

// State returns the current state.
func (m *Machine) State() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Fire makes the transition that the chart defines for the current state and the trigger. If there is none, it returns an error
// and leaves the state unchanged.
func (m *Machine) Fire(trigger, reason string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	to, ok := m.chart.transitions[transition{m.state, trigger}]
	if !ok {
		return fmt.Errorf("%s %s: no transition on %s in state %s", m.chart.name, m.subject, trigger, m.state)
	}
	from := m.state
	m.state = to
	if m.log != nil {
		m.log.Add(timeline.Event{Chart: m.chart.name, Subject: m.subject, From: from, To: to, Trigger: trigger, Reason: reason})
	}
	klog.V(1).Infof("%s: %s is %s: %s", m.chart.name, m.subject, to, reason)
	return nil
}
