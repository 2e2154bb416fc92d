package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// maxBatch is the largest number of writes in one call. It keeps a batch below the
// API's limits of 10,000 writes and 8 MiB.
const maxBatch = 5000

var (
	errDifferent  = errors.New("the configuration differs")
	errNotReached = errors.New("the change was accepted but is not yet in force at all nodes")
)

// writeFlags are the flags and arguments of the commands for resources.
type writeFlags struct {
	file        string
	name        string
	typ         string
	revision    uint64
	dryRun      bool
	wait        bool
	waitTimeout time.Duration
}

func (a *app) addResources() {
	f := &writeFlags{waitTimeout: time.Minute}
	apply := a.addCommand(a.parser, "apply", "Creates or replaces resources from a file and skips those that would not change.", func(ctx context.Context) error { return a.apply(ctx, f) })
	apply.String(&f.file, "f", "file", "file with a JSON array or stream of resources with a type field; - reads standard input")
	apply.Bool(&f.dryRun, "", "dry-run", "validate the change without applying it")
	apply.Bool(&f.wait, "", "wait", "wait until the change is in force at all nodes")
	apply.Duration(&f.waitTimeout, "", "wait-timeout", "timeout of --wait")

	get := a.addCommand(a.parser, "get", "Prints the resources of a type, or one of them.", func(ctx context.Context) error { return a.get(ctx, f) })
	get.AddPositionalValue(&f.typ, "type", 1, true, "groups, ranks, services, kinds, routes or callers")
	get.AddPositionalValue(&f.name, "name", 2, false, "name of one resource")

	remove := a.addCommand(a.parser, "delete", "Deletes a resource.", func(ctx context.Context) error { return a.delete(ctx, f) })
	remove.AddPositionalValue(&f.typ, "type", 1, true, "groups, ranks, services, kinds, routes or callers")
	remove.AddPositionalValue(&f.name, "name", 2, true, "name of the resource")
	remove.UInt64(&f.revision, "", "revision", "revision to delete (default: the current one)")
	remove.Bool(&f.dryRun, "", "dry-run", "validate the change without applying it")
	remove.Bool(&f.wait, "", "wait", "wait until the change is in force at all nodes")
	remove.Duration(&f.waitTimeout, "", "wait-timeout", "timeout of --wait")

	diff := a.addCommand(a.parser, "diff", "Prints what apply would change. The exit code is 9 if there are changes.", func(ctx context.Context) error { return a.diff(ctx, f) })
	diff.String(&f.file, "f", "file", "file in the same format as for apply")
}

func (a *app) readObjects(path string) ([]resource.Object, error) {
	var in io.Reader = a.In
	switch path {
	case "":
		return nil, usagef("-f FILE is required; - reads standard input")
	case "-":
	default:
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		in = file
	}
	return apiv1.DecodeAll(in)
}

// plan reads wanted resources from a file and compares them with the current
// configuration.
func (a *app) plan(ctx context.Context, path string) (*client.Client, []difference, error) {
	wanted, err := a.readObjects(path)
	if err != nil {
		return nil, nil, err
	}
	c, err := a.connect()
	if err != nil {
		return nil, nil, err
	}
	// resource.Types lists a type after those that it refers to. Sorted in this order,
	// a batch refers to objects of its own or of earlier batches only.
	slices.SortStableFunc(wanted, func(x, y resource.Object) int {
		return slices.Index(resource.Types, x.Type()) - slices.Index(resource.Types, y.Type())
	})
	differences, err := compare(ctx, c, wanted)
	return c, differences, err
}

func (a *app) apply(ctx context.Context, f *writeFlags) error {
	c, differences, err := a.plan(ctx, f.file)
	if err != nil {
		return err
	}
	var writes []apiv1.Write
	unchanged := 0
	for _, d := range differences {
		if d.Action == actionKeep {
			unchanged++
			continue
		}
		writes = append(writes, client.PutOf(d.object))
	}
	status, err := c.Status(ctx)
	if err != nil {
		return err
	}
	total := &apiv1.Applied{Version: status.Version, DryRun: f.dryRun}
	for batch := range slices.Chunk(writes, maxBatch) {
		applied, err := c.Apply(ctx, batch, client.WriteOptions{DryRun: f.dryRun})
		if err != nil {
			return a.partialApplyError(total, err)
		}
		total.Version = applied.Version
		total.Objects = append(total.Objects, applied.Objects...)
	}
	if err := a.printApplied(total, unchanged); err != nil {
		return err
	}
	return a.waitReached(ctx, c, f, total.Version)
}

// partialApplyError adds to err what earlier batches have applied.
func (a *app) partialApplyError(total *apiv1.Applied, err error) error {
	if len(total.Objects) == 0 || total.DryRun {
		return err
	}
	return fmt.Errorf("%d resources were applied, up to version %s, before this error: %w", len(total.Objects), total.Version, err)
}

func (a *app) printApplied(total *apiv1.Applied, unchanged int) error {
	if a.json() {
		return a.printJSON(total)
	}
	for _, o := range total.Objects {
		verb := "replaced"
		if o.Metadata().Generation == 1 {
			verb = "created"
		}
		a.printf("%s %s\n", resource.KeyOf(o.Object), verb)
	}
	for _, k := range total.Deleted {
		a.printf("%s deleted\n", k)
	}
	if unchanged > 0 {
		a.printf("%d unchanged\n", unchanged)
	}
	suffix := ""
	if total.DryRun {
		suffix = " (dry run, nothing was changed)"
	}
	a.printf("version %s%s\n", total.Version, suffix)
	return nil
}

// waitReached waits until version v is in force at all nodes, if the flags ask for it.
func (a *app) waitReached(ctx context.Context, c *client.Client, f *writeFlags, v resource.Version) error {
	if !f.wait || f.dryRun {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.waitTimeout)
	defer cancel()
	var lastNodes apiv1.NodeVersions
	err := c.WaitReached(ctx, v, func(n apiv1.NodeVersions) { lastNodes = n })
	switch {
	case err == nil:
		if !a.json() {
			a.printf("version %s is in force at all nodes\n", v)
		}
		return nil
	case errors.Is(err, client.ErrNodesUnknown):
		return fmt.Errorf("%w: %w", errNotReached, err)
	}
	return fmt.Errorf("%w: %d of %d nodes have the current version: %w", errNotReached, lastNodes.Reached, lastNodes.Total, err)
}

func (a *app) get(ctx context.Context, f *writeFlags) error {
	t := resource.Type(f.typ)
	if resource.New(t) == nil {
		return usagef("%q is not a resource type", f.typ)
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	if f.name != "" {
		o, err := c.Get(ctx, resource.Key{Type: t, Name: f.name})
		if err != nil {
			return err
		}
		if a.json() {
			return a.printJSON(apiv1.Resource{Object: o})
		}
		return a.printObjects([]resource.Object{o})
	}
	objects := []resource.Object{}
	for o, err := range c.All(ctx, t) {
		if err != nil {
			return err
		}
		objects = append(objects, o)
	}
	if !a.json() {
		return a.printObjects(objects)
	}
	resources := make([]apiv1.Resource, len(objects))
	for i, o := range objects {
		resources[i] = apiv1.Resource{Object: o}
	}
	return a.printJSON(resources)
}

func (a *app) delete(ctx context.Context, f *writeFlags) error {
	k := resource.Key{Type: resource.Type(f.typ), Name: f.name}
	if resource.New(k.Type) == nil {
		return usagef("%q is not a resource type", f.typ)
	}
	c, err := a.connect()
	if err != nil {
		return err
	}
	if f.revision == 0 {
		o, err := c.Get(ctx, k)
		if err != nil {
			return err
		}
		f.revision = o.Metadata().Revision
	}
	applied, err := c.Delete(ctx, k, f.revision, client.WriteOptions{DryRun: f.dryRun})
	if err != nil {
		return err
	}
	if err := a.printApplied(applied, 0); err != nil {
		return err
	}
	return a.waitReached(ctx, c, f, applied.Version)
}

func (a *app) diff(ctx context.Context, f *writeFlags) error {
	_, differences, err := a.plan(ctx, f.file)
	if err != nil {
		return err
	}
	changes := slices.DeleteFunc(differences, func(d difference) bool { return d.Action == actionKeep })
	if a.json() {
		if err := a.printJSON(changes); err != nil {
			return err
		}
	} else {
		a.printDifferences(changes)
	}
	if len(changes) > 0 {
		return errDifferent
	}
	return nil
}

func (a *app) printDifferences(changes []difference) {
	for _, d := range changes {
		a.printf("%s %s\n", d.Action, d.Key)
		for _, f := range d.Fields {
			a.printf("  %s: %v -> %v\n", f.Field, f.From, f.To)
		}
	}
	if len(changes) == 0 {
		a.printf("no differences\n")
	}
}
