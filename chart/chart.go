// Package chart interprets the state charts in charts/*.yaml. Its machines are the one place where a state changes, an event
// is recorded and a log line is printed.
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
var files embed.FS

// Chart is a parsed state chart.
type Chart struct {
	name        string
	initial     string
	transitions map[edge]string
	states      []string
}

type edge struct{ from, trigger string }

type file struct {
	Chart       string `yaml:"chart"`
	Initial     string `yaml:"initial"`
	Transitions []struct {
		On   string   `yaml:"on"`
		From []string `yaml:"from"`
		To   string   `yaml:"to"`
	} `yaml:"transitions"`
}

// Load returns the chart with the given name.
func Load(name string) (*Chart, error) {
	content, err := files.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("state chart %s: %w", name, err)
	}
	return Parse(content)
}

// MustLoad is Load for the charts that are part of the program.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse returns the chart in a YAML text. Two transitions for one state and trigger are refused.
func Parse(content []byte) (*Chart, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(content, &f, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	c := &Chart{name: f.Chart, initial: f.Initial, transitions: make(map[edge]string)}
	c.addState(f.Initial)
	for _, t := range f.Transitions {
		c.addState(t.To)
		for _, from := range t.From {
			key := edge{from, t.On}
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

// States returns the states in the order of the file.
func (c *Chart) States() []string { return slices.Clone(c.states) }

// Machine is one instance of a chart. It is safe for concurrent use.
type Machine struct {
	chart   *Chart
	subject string
	log     *timeline.Log
	mu      sync.Mutex
	state   string
}

// New returns a machine in the chart's initial state. The log may be nil.
func New(c *Chart, subject string, log *timeline.Log) *Machine {
	return &Machine{chart: c, subject: subject, log: log, state: c.initial}
}

// State returns the current state.
func (m *Machine) State() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Fire makes the transition that the chart has for the current state and a trigger. An event without a transition leaves
// the state as it is and returns an error.
func (m *Machine) Fire(trigger, reason string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	to, ok := m.chart.transitions[edge{m.state, trigger}]
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
