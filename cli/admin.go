package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/google/renameio/v2"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/control/server"
	"github.com/godwithub/godwithub/keys"
)

// certificateLifetime is the default validity period of a process's certificate.
const certificateLifetime = 90 * 24 * time.Hour

type keyFlags struct {
	dir, out, name, role string
	lifetime             time.Duration
}

func (a *app) addKeys() {
	f := &keyFlags{lifetime: certificateLifetime}
	group := a.addGroup("keys", "Creates the keys of the fleet.")
	initialize := a.addCommand(group, "init", "Creates the certificate authority and the gossip key.", func(context.Context) error { return a.keysInit(f) })
	initialize.String(&f.dir, "", "dir", "folder for the certificate authority; do not keep it on a VM of the fleet")
	issue := a.addCommand(group, "issue", "Creates the keys of one process.", func(context.Context) error { return a.keysIssue(f) })
	issue.String(&f.dir, "", "dir", "folder with the certificate authority")
	issue.String(&f.out, "", "out", "folder for the keys of the process")
	issue.String(&f.name, "", "name", "name of the process: its node-id")
	issue.String(&f.role, "", "role", "node or control")
	issue.Duration(&f.lifetime, "", "lifetime", "how long the certificate is valid")
}

func (a *app) keysInit(f *keyFlags) error {
	if f.dir == "" {
		return usagef("--dir is required")
	}
	if err := keys.Init(f.dir); err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "the certificate authority was written to %s\n", f.dir)
	return nil
}

func (a *app) keysIssue(f *keyFlags) error {
	roles := map[string]keys.Role{"node": keys.RoleNode, "control": keys.RoleControl}
	role, ok := roles[f.role]
	switch {
	case f.dir == "" || f.out == "" || f.name == "":
		return usagef("--dir, --out and --name are required")
	case !ok:
		return usagef("--role is %q; it has to be node or control", f.role)
	case f.lifetime <= 0:
		return usagef("--lifetime has to be positive")
	}
	if err := keys.Issue(f.dir, f.out, f.name, role, f.lifetime); err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "the keys of %s were written to %s\n", f.name, f.out)
	return nil
}

func (a *app) addTokens() {
	var file, name, role string
	group := a.addGroup("token", "Creates tokens of the resource API.")
	c := a.addCommand(group, "new", "Adds a token to a token file and prints its secret.", func(context.Context) error {
		if file == "" || name == "" {
			return usagef("--file and --name are required")
		}
		r, err := server.ParseRole(role)
		if err != nil {
			return usageError{err}
		}
		secret, err := server.NewToken(file, name, r)
		if err != nil {
			return err
		}
		a.printf("%s\n", secret)
		return nil
	})
	c.String(&file, "", "file", "token file; all members of the control group need the same one")
	c.String(&name, "", "name", "name of the token, as it appears in logs")
	c.String(&role, "", "role", "reader, writer or admin")
}

type memberFlags struct {
	id, successor, linkAddr, apiAddr string
}

func (a *app) addMembers() {
	f := &memberFlags{}
	group := a.addGroup("members", "Lists and changes the members of the control group.")
	a.addCommand(group, "list", "Lists the members.", a.listMembers)
	add := a.addCommand(group, "add", "Adds a member, or changes its addresses.", func(ctx context.Context) error { return a.addMember(ctx, f) })
	add.AddPositionalValue(&f.id, "id", 1, true, "id of the member")
	remove := a.addCommand(group, "remove", "Removes a member.", func(ctx context.Context) error { return a.removeMember(ctx, f) })
	remove.AddPositionalValue(&f.id, "id", 1, true, "id of the member")
	replace := a.addCommand(group, "replace", "Replaces a member by another one. Both may have the same id, for a member that has lost its disk.", func(ctx context.Context) error { return a.replaceMember(ctx, f) })
	replace.AddPositionalValue(&f.id, "id", 1, true, "id of the member to remove")
	replace.AddPositionalValue(&f.successor, "successor", 2, true, "id of the member to add")
	add.String(&f.linkAddr, "", "link-addr", "link address of the new member, IP:port")
	add.String(&f.apiAddr, "", "api-addr", "API address of the new member, IP:port")
	replace.String(&f.linkAddr, "", "link-addr", "link address of the new member, IP:port")
	replace.String(&f.apiAddr, "", "api-addr", "API address of the new member, IP:port")
}

func (a *app) listMembers(ctx context.Context) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	members, err := c.Members(ctx)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(members)
	}
	t := newTable(a.Out, "ID", "LINK ADDRESS", "API ADDRESS", "VOTER", "LEADER")
	for _, m := range members {
		t.row(m.ID, m.LinkAddr, m.APIAddr, strconv.FormatBool(m.Voter), strconv.FormatBool(m.Leader))
	}
	return t.flush()
}

func (a *app) addMember(ctx context.Context, f *memberFlags) error {
	m, err := f.member(f.id)
	if err != nil {
		return err
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	if _, err := c.PutMember(ctx, m, client.WriteOptions{}); err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "member %s was added\n", f.id)
	return nil
}

// member returns a voting member with the given id and the addresses from the flags.
func (f *memberFlags) member(id string) (apiv1.Member, error) {
	if f.linkAddr == "" || f.apiAddr == "" {
		return apiv1.Member{}, usagef("--link-addr and --api-addr are required")
	}
	return apiv1.Member{ID: id, LinkAddr: f.linkAddr, APIAddr: f.apiAddr, Voter: true}, nil
}

func (a *app) replaceMember(ctx context.Context, f *memberFlags) error {
	m, err := f.member(f.successor)
	if err != nil {
		return err
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	// When the command is repeated, the member may be replaced already. The successor
	// is a member then.
	if err := requireMember(ctx, c, f.id, f.successor); err != nil {
		return err
	}
	if _, err := c.ReplaceMember(ctx, f.id, m, client.WriteOptions{}); err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "member %s was replaced by %s\n", f.id, f.successor)
	return nil
}

func (a *app) removeMember(ctx context.Context, f *memberFlags) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	if err := requireMember(ctx, c, f.id); err != nil {
		return err
	}
	if _, err := c.RemoveMember(ctx, f.id, client.WriteOptions{}); err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "member %s was removed\n", f.id)
	return nil
}

// requireMember returns an error unless one of the ids is that of a member. The
// API itself does not report an unknown id: it takes the call for the resend of a
// removal that has succeeded.
func requireMember(ctx context.Context, c *client.Client, ids ...string) error {
	members, err := c.Members(ctx)
	if err != nil {
		return err
	}
	if slices.ContainsFunc(members, func(m apiv1.Member) bool { return slices.Contains(ids, m.ID) }) {
		return nil
	}
	return &apiv1.Error{Status: http.StatusConflict, Code: apiv1.CodeConflict, Message: fmt.Sprintf("the control group has no member %q", ids[0])}
}

// snapshotMode makes a snapshot unreadable for other users, because it contains
// change ids.
const snapshotMode = 0o600

func (a *app) addSnapshots() {
	var file string
	group := a.addGroup("snapshot", "Saves and restores the state of the control group.")
	save := a.addCommand(group, "save", "Saves the state to a file.", func(ctx context.Context) error { return a.saveSnapshot(ctx, file) })
	save.String(&file, "f", "file", "file to write")
	restore := a.addCommand(group, "restore", "Replaces the configuration by that of a snapshot and raises its epoch.", func(ctx context.Context) error { return a.restoreSnapshot(ctx, file) })
	restore.String(&file, "f", "file", "file to read")
}

func (a *app) saveSnapshot(ctx context.Context, file string) error {
	if file == "" {
		return usagef("-f FILE is required")
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	state, err := c.Snapshot(ctx)
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(file, state, snapshotMode); err != nil {
		return err
	}
	fmt.Fprintf(a.Err, "%d bytes were written to %s\n", len(state), file)
	return nil
}

func (a *app) restoreSnapshot(ctx context.Context, file string) error {
	if file == "" {
		return usagef("-f FILE is required")
	}
	state, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	applied, err := c.Restore(ctx, state, client.WriteOptions{})
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(applied)
	}
	a.printf("version %s\n", applied.Version)
	return nil
}
