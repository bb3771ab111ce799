package instance

import (
	"sapphiretray/member"
	"sapphiretray/partition"
)

// view is what package caller sees of the deployment.
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

// Record returns the record of an incarnation.
func (v *view) Record(i member.Incarnation) (member.Record, bool) { return v.directory.Record(i) }

// Suspect marks an incarnation for the planner, which asks its witnesses.
func (v *view) Suspect(i member.Incarnation) { v.session.instance.suspect(i) }

// Refresh asks a member of the service for the rows that are missing here.
func (v *view) Refresh(service string, _ uint64) {
	for _, m := range v.directory.all() {
		if m.Service == service && m.State == member.Ready && m.Incarnation != v.session.self {
			v.session.instance.requestFetch(m.Incarnation.Slot())
			return
		}
	}
}
