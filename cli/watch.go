package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

type watchFlags struct {
	since   string
	all     bool
	reached bool
}

func (a *app) addWatch() {
	f := &watchFlags{}
	c := a.addCommand(a.parser, "watch", "Prints changes as they happen, until interrupted.", func(ctx context.Context) error { return a.watch(ctx, f) })
	c.String(&f.since, "", "since", "version to start after, as epoch.revision (default: the current one)")
	c.Bool(&f.all, "", "all", "print the current resources first")
	c.Bool(&f.reached, "", "reached", "also print how many nodes have the current version in force")
	a.addCommand(a.parser, "status", "Prints the version of the configuration and how many nodes have it in force.", a.status)
}

func (a *app) watch(ctx context.Context, f *watchFlags) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	opts := client.WatchOptions{Reached: f.reached}
	switch {
	case f.since != "":
		if opts.Since, err = apiv1.ParseVersion(f.since); err != nil {
			return usageError{err}
		}
	case !f.all:
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		opts.Since = s.Version
	}
	err = c.Watch(ctx, opts, a.printEvent)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (a *app) printEvent(e apiv1.Event) error {
	if a.json() {
		return a.printJSONLine(e)
	}
	now := time.Now().Format(time.RFC3339)
	switch e.Type {
	case apiv1.EventPut:
		meta := e.Object.Metadata()
		a.printf("%s put %s revision %d generation %d\n", now, resource.KeyOf(e.Object.Object), meta.Revision, meta.Generation)
	case apiv1.EventDelete:
		a.printf("%s delete %s\n", now, e.Key)
	case apiv1.EventReset, apiv1.EventVersion:
		a.printf("%s %s %s\n", now, e.Type, e.Version)
	case apiv1.EventReached:
		a.printf("%s reached %s\n", now, describeReached(*e.Nodes))
	}
	return nil
}

func describeReached(n apiv1.NodeVersions) string {
	if !n.Known {
		return "unknown: the control group does not know the nodes"
	}
	return fmt.Sprintf("%d of %d nodes", n.Reached, n.Total)
}

func (a *app) status(ctx context.Context) error {
	c, err := a.connect()
	if err != nil {
		return err
	}
	s, err := c.Status(ctx)
	if err != nil {
		return err
	}
	if a.json() {
		return a.printJSON(s)
	}
	a.printf("version %s\nleader  %s\nreached %s\n\n", s.Version, s.Leader, describeReached(s.Nodes))
	t := newTable(a.Out, "TYPE", "COUNT")
	for _, n := range s.Objects {
		t.row(string(n.Type), strconv.Itoa(n.Count))
	}
	if err := t.flush(); err != nil || !s.Nodes.Known {
		return err
	}
	a.printf("\n")
	t = newTable(a.Out, "VERSION", "NODES")
	for _, nodesAt := range s.Nodes.ByVersion {
		t.row(nodesAt.Version.String(), strconv.Itoa(nodesAt.Nodes))
	}
	if err := t.flush(); err != nil || len(s.Nodes.Laggards) == 0 {
		return err
	}
	a.printf("\n")
	t = newTable(a.Out, "LAGGARD", "VERSION", "STATE", "REGION", "FAILURE DOMAIN")
	for _, l := range s.Nodes.Laggards {
		t.row(l.Node, l.Version.String(), l.State, l.Region, l.FailureDomain)
	}
	return t.flush()
}
