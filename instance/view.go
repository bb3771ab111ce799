package instance

import (
	"math/rand/v2"
	"slices"

	"sapphiretray/member"
	"sapphiretray/partition"
)

// callerDirectory implements caller.Directory for one session.
type callerDirectory struct {
	directory *directory
	session   *session
}

// Self returns the local incarnation.
func (d *callerDirectory) Self() member.Incarnation { return d.session.self }

// Service returns the local service.
func (d *callerDirectory) Service() string { return d.session.instance.settings.Service() }

// Map returns the newest map of a service, or nil.
func (d *callerDirectory) Map(service string) *partition.Map { return d.directory.Map(service) }

// Record returns the record of an incarnation, and false if it isn't the newest one of its slot.
func (d *callerDirectory) Record(i member.Incarnation) (member.Record, bool) {
	return d.directory.Record(i)
}

// ReportUnreachable marks an incarnation as suspected, so that the planner asks its witnesses.
func (d *callerDirectory) ReportUnreachable(i member.Incarnation) { d.session.instance.suspect(i) }

// Refresh fetches missing rows from a ready member of the service. Some may not respond, so it is a random one.
func (d *callerDirectory) Refresh(service string, _ uint64) {
	ready := slices.DeleteFunc(d.directory.all(), func(m member.Record) bool {
		return m.Service != service || m.State != member.Ready || m.Incarnation == d.session.self
	})
	if len(ready) > 0 {
		requestFetch(d.session.instance.refreshRequests, ready[rand.N(len(ready))].Incarnation.Slot())
	}
}
