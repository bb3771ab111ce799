package main

import (
	"context"
	"fmt"
	"text/tabwriter"

	"sapphiretray/admin"
	"sapphiretray/instance"
	"sapphiretray/member"
)

// StatusCommand prints the state of all instances.
type StatusCommand struct {
	Instance []string `help:"Admin addresses (host:port) to ask instead of those in the table." placeholder:"ADDRESS"`
}

// Run asks each instance for its state. Instances that don't respond are listed with the reason.
func (c *StatusCommand) Run(ctx context.Context, o *output, g *Globals) error {
	members, err := findMembers(ctx, c.Instance, g)
	if err != nil {
		return err
	}
	responses := admin.Ask(ctx, members, admin.Status)
	return o.write(statusRows(responses), func() { printStatus(o, responses) })
}

// findMembers returns the members in the table or, if admin addresses are given, a record with only the address for each.
func findMembers(ctx context.Context, addresses []string, g *Globals) ([]member.Record, error) {
	if len(addresses) > 0 {
		members := make([]member.Record, len(addresses))
		for n, address := range addresses {
			members[n] = member.Record{AdminAddress: address, State: member.Ready}
		}
		return members, nil
	}
	t, err := g.tableClient()
	if err != nil {
		return nil, err
	}
	return admin.Members(ctx, t)
}

// statusRow is one instance in the JSON result of StatusCommand: its status, or why it is unknown.
type statusRow struct {
	Record member.Record    `json:"record"`
	Status *instance.Status `json:"status,omitempty"`
	Error  string           `json:"error,omitempty"`
}

func statusRows(responses []admin.Response[instance.Status]) []statusRow {
	rows := make([]statusRow, len(responses))
	for n, response := range responses {
		rows[n].Record = response.Record
		if response.Err != nil {
			rows[n].Error = response.Err.Error()
			continue
		}
		rows[n].Status = &response.Value
	}
	return rows
}

func printStatus(o *output, responses []admin.Response[instance.Status]) {
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tSERVICE\tDATA CENTRE\tSTATE\tLEASE\tUPSTREAM\tPARTITIONS\tLOAD\tREVISION\tCONFIG\tSHEET")
	for _, response := range responses {
		if r := response.Record; response.Err != nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\tno response: %v\n", r.Incarnation, r.Service, r.DataCentre, r.State, response.Err)
			continue
		}
		s, lease := response.Value, "expired"
		if s.LeaseValid {
			lease = "valid"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%d\t%d\t%d\n", s.Incarnation, s.Service, s.DataCentre, s.State, lease,
			s.Upstream, len(s.Serving), s.Load, s.Revision, s.Config, s.Sheet)
	}
	_ = w.Flush()
}
