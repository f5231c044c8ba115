package cli

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/vanillaward/vanillaward/internal/wire"
)

func (t *tool) addReplica(app *kingpin.Application) {
	group := app.Command("replica", "Show and change the replicas of the configuration.")

	initial := group.Command("init", "Start the log with the named replicas. Run once for a deployment; it is refused by a replica that belongs to a log already.")
	t.addReplicaFlags(initial)
	initial.Action(func(*kingpin.ParseContext) error { return t.withClient(t.initReplicas) })

	show := group.Command("show", "Show which replica answers at each address.")
	t.addReplicaFlags(show)
	show.Action(func(*kingpin.ParseContext) error { return t.withClient(t.showReplicas) })

	add := group.Command("add", "Add the replica that answers at an address, as a learner first.")
	t.addReplicaFlags(add)
	addName := add.Arg("name", "Name of the replica among --replicas.").Required().String()
	add.Action(func(*kingpin.ParseContext) error {
		return t.withClient(func(c *client) error { return t.addReplicaByName(c, *addName) })
	})

	replace := group.Command("replace", "Remove the replica that was at an address and lost its disk, and add the new one there.")
	t.addReplicaFlags(replace)
	replaceName := replace.Arg("name", "Name of the replica among --replicas.").Required().String()
	replace.Action(func(*kingpin.ParseContext) error {
		return t.withClient(func(c *client) error { return t.replaceReplica(c, *replaceName) })
	})

	remove := group.Command("remove", "Remove a replica by its identity, as status shows it.")
	t.addReplicaFlags(remove)
	id := remove.Arg("id", "Identity of the replica.").Required().String()
	remove.Action(func(*kingpin.ParseContext) error {
		return t.withClient(func(c *client) error {
			return c.callAny("Control.ChangeReplicas", &wire.ReplicaChange{Remove: *id}, &wire.Empty{})
		})
	})
}

func (t *tool) withClient(f func(*client) error) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	defer c.close()
	return f(c)
}

// initReplicas bootstraps all named replicas with the same initial membership. If an
// earlier call reached only some of them, this call reaches the rest.
func (t *tool) initReplicas(c *client) error {
	membership := &wire.Membership{}
	for i, p := range c.peers {
		identity := &wire.ReplicaIdentity{}
		if err := c.callReplica(i, "Control.Identity", &wire.Empty{}, identity); err != nil {
			return &exitError{ExitUnreachable, errors.Wrapf(err, "replica %s", p.Name)}
		}
		membership.Replicas = append(membership.Replicas, &wire.Replica{Id: identity.GetId(), Name: p.Name, Address: p.Address.String()})
	}
	for i, p := range c.peers {
		if err := c.callReplica(i, "Control.Bootstrap", membership, &wire.Empty{}); err != nil {
			return errors.Wrapf(err, "replica %s", p.Name)
		}
	}
	return t.showReplicas(c)
}

func (t *tool) identifyReplica(c *client, name string) (*wire.Replica, error) {
	for i, p := range c.peers {
		if p.Name != name {
			continue
		}
		identity := &wire.ReplicaIdentity{}
		if err := c.callReplica(i, "Control.Identity", &wire.Empty{}, identity); err != nil {
			return nil, &exitError{ExitUnreachable, errors.Wrapf(err, "replica %s", name)}
		}
		return &wire.Replica{Id: identity.GetId(), Name: name, Address: p.Address.String()}, nil
	}
	return nil, errors.Errorf("%s is not among --replicas", name)
}

func (t *tool) addReplicaByName(c *client, name string) error {
	r, err := t.identifyReplica(c, name)
	if err != nil {
		return err
	}
	return c.callAny("Control.ChangeReplicas", &wire.ReplicaChange{Add: r}, &wire.Empty{})
}

// replaceReplica removes the old identity before it adds the new one: the old identity
// can never vote again, and a learner does not count as a voter until it has caught up.
func (t *tool) replaceReplica(c *client, name string) error {
	replacement, err := t.identifyReplica(c, name)
	if err != nil {
		return err
	}
	status := &wire.StatusResponse{}
	if err := c.callAny("Control.Status", &wire.StatusRequest{Linearizable: true}, status); err != nil {
		return err
	}
	for _, r := range status.GetReplicas() {
		old := r.GetReplica()
		if old.GetName() != name || old.GetId() == replacement.GetId() {
			continue
		}
		if err := c.callAny("Control.ChangeReplicas", &wire.ReplicaChange{Remove: old.GetId()}, &wire.Empty{}); err != nil {
			return err
		}
	}
	return c.callAny("Control.ChangeReplicas", &wire.ReplicaChange{Add: replacement}, &wire.Empty{})
}

// identityReport is one line of the command "replica show".
type identityReport struct {
	Name   string `json:"name"`
	ID     string `json:"id,omitempty"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

func (t *tool) showReplicas(c *client) error {
	list := []identityReport{}
	for i, p := range c.peers {
		identity := &wire.ReplicaIdentity{}
		r := identityReport{Name: p.Name, State: "member"}
		if err := c.callReplica(i, "Control.Identity", &wire.Empty{}, identity); err != nil {
			r.State, r.Reason = "unreachable", err.Error()
		}
		r.ID = identity.GetId()
		switch {
		case identity.GetFailed() != "":
			r.State, r.Reason = "failed", identity.GetFailed()
		case identity.GetEmpty():
			r.State = "empty"
		}
		list = append(list, r)
	}
	return t.print(list, func(w writer) {
		for _, r := range list {
			writeLine(w, "%-14s %-11s %s %s", r.Name, r.State, r.ID, r.Reason)
		}
	})
}
