package gateway

import (
	"fmt"
	"time"

	"sapphiretray/code"
)

// spillReserve is the part of the slots that stays free of requests from other data centres, for the next requests of this one.
const spillReserve = 1.0 / 6

// checkBusy returns a Failure if the response to a request would be expected later than its sender has asked for, or if a request from
// another data centre would take room that requests of this one need. Such a refusal isn't pressure: the request goes to another instance.
func (g *Gateway) checkBusy(r *Request) *Failure {
	if r.Within <= 0 && !r.Spilled {
		return nil
	}
	spec := g.jobSpec(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Spilled {
		used, slots := g.scheduler.Running()+g.scheduler.Waiting(), g.scheduler.Slots()
		if float64(used+1) > (1-spillReserve)*float64(slots) {
			reason := fmt.Sprintf("%d of %d slots are in use: no room beside the data centre's own requests", used, slots)
			return &Failure{Code: code.Busy, Reason: reason}
		}
	}
	wait := g.scheduler.WaitFor(time.Now(), spec)
	if g.estimates.measured(r.Route) == 0 {
		// The sender's bound is better known than the service time here.
		spec.ServiceTime = 0
	}
	if expected := wait + spec.ServiceTime; r.Within > 0 && expected > r.Within {
		reason := fmt.Sprintf("a response is expected in %v, of it %v in the queue; asked for within %v", expected, wait, r.Within)
		return &Failure{Code: code.Busy, Reason: reason}
	}
	return nil
}
