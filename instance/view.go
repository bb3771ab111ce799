package instance

import (
	"sapphiretray/member"
	"sapphiretray/partition"
)

// view implements caller.Directory for one session.
type view struct {
	directory *directory
	session   *session
}

// Self returns the local incarnation.
func (v *view) Self() member.Incarnation { return v.session.self }

// Service returns the local service.
func (v *view) Service() string { return v.session.instance.settings.Service() }

// Map returns the newest map of a service, or nil.
func (v *view) Map(service string) *partition.Map { return v.directory.Map(service) }

// Record returns the record of an incarnation, and false if it isn't the newest one of its slot.
func (v *view) Record(i member.Incarnation) (member.Record, bool) { return v.directory.Record(i) }

// Suspect marks an incarnation as suspected, so that the planner asks its witnesses.
func (v *view) Suspect(i member.Incarnation) { v.session.instance.suspect(i) }

// Refresh fetches missing rows from a ready member of the service.
func (v *view) Refresh(service string, _ uint64) {
	for _, m := range v.directory.all() {
		if m.Service == service && m.State == member.Ready && m.Incarnation != v.session.self {
			v.session.instance.requestFetch(m.Incarnation.Slot())
			return
		}
	}
}
