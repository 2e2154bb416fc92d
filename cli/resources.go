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

// maxBatch is the number of writes sent at once. It keeps a batch below the
// API's limits of 10,000 writes and 8 MiB.
const maxBatch = 5000

var (
	errDifferent  = errors.New("the configuration differs")
	errNotReached = errors.New("the change is accepted but not yet in force at all nodes")
)

// writeFlags are the flags of commands that write.
type writeFlags struct {
	file     string
	name     string
	typ      string
	revision uint64
	dryRun   bool
	wait     bool
	waitFor  time.Duration
}

func (a *app) addResources() {
	f := &writeFlags{waitFor: time.Minute}
	apply := a.add(a.parser, "apply", "Creates or replaces resources from a file, skipping those that are as wanted.", func(ctx context.Context) error { return a.apply(ctx, f) })
	apply.String(&f.file, "f", "file", "file with a JSON array or stream of resources with a type field; - reads standard input")
	apply.Bool(&f.dryRun, "", "dry-run", "check the change and apply nothing")
	apply.Bool(&f.wait, "", "wait", "wait until the change is in force at all nodes")
	apply.Duration(&f.waitFor, "", "wait-timeout", "longest wait of --wait")

	get := a.add(a.parser, "get", "Prints the resources of a type, or one of them.", func(ctx context.Context) error { return a.get(ctx, f) })
	get.AddPositionalValue(&f.typ, "type", 1, true, "groups, ranks, services, kinds, routes or callers")
	get.AddPositionalValue(&f.name, "name", 2, false, "name of one resource")

	remove := a.add(a.parser, "delete", "Deletes a resource.", func(ctx context.Context) error { return a.delete(ctx, f) })
	remove.AddPositionalValue(&f.typ, "type", 1, true, "groups, ranks, services, kinds, routes or callers")
	remove.AddPositionalValue(&f.name, "name", 2, true, "name of the resource")
	remove.UInt64(&f.revision, "", "revision", "revision to delete; without it, the present one")
	remove.Bool(&f.dryRun, "", "dry-run", "check the change and apply nothing")
	remove.Bool(&f.wait, "", "wait", "wait until the change is in force at all nodes")
	remove.Duration(&f.waitFor, "", "wait-timeout", "longest wait of --wait")

	diff := a.add(a.parser, "diff", "Shows what apply would change; exit code 9 if anything.", func(ctx context.Context) error { return a.diff(ctx, f) })
	diff.String(&f.file, "f", "file", "file as for apply")
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

// plan reads a file and compares it with the present configuration.
func (a *app) plan(ctx context.Context, path string) (*client.Client, []difference, error) {
	wanted, err := a.readObjects(path)
	if err != nil {
		return nil, nil, err
	}
	c, err := a.connect()
	if err != nil {
		return nil, nil, err
	}
	// References hold within each batch if referred types come first.
	slices.SortStableFunc(wanted, func(x, y resource.Object) int {
		return slices.Index(resource.Types, x.Type()) - slices.Index(resource.Types, y.Type())
	})
	list, err := compare(ctx, c, wanted)
	return c, list, err
}

func (a *app) apply(ctx context.Context, f *writeFlags) error {
	c, list, err := a.plan(ctx, f.file)
	if err != nil {
		return err
	}
	var writes []apiv1.Write
	kept := 0
	for _, d := range list {
		if d.Action == actionKeep {
			kept++
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
		done, err := c.Apply(ctx, batch, client.WriteOptions{DryRun: f.dryRun})
		if err != nil {
			return a.partly(total, err)
		}
		total.Version = done.Version
		total.Objects = append(total.Objects, done.Objects...)
	}
	if err := a.printApplied(total, kept); err != nil {
		return err
	}
	return a.wait(ctx, c, f, total.Version)
}

// partly adds what earlier batches have applied to an error.
func (a *app) partly(total *apiv1.Applied, err error) error {
	if len(total.Objects) == 0 || total.DryRun {
		return err
	}
	return fmt.Errorf("%d resources were applied up to version %s before: %w", len(total.Objects), total.Version, err)
}

func (a *app) printApplied(total *apiv1.Applied, kept int) error {
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
	if kept > 0 {
		a.printf("%d unchanged\n", kept)
	}
	suffix := ""
	if total.DryRun {
		suffix = " (dry run, nothing was changed)"
	}
	a.printf("version %s%s\n", total.Version, suffix)
	return nil
}

// wait waits for version v at all nodes if the flags ask for it.
func (a *app) wait(ctx context.Context, c *client.Client, f *writeFlags, v resource.Version) error {
	if !f.wait || f.dryRun {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.waitFor)
	defer cancel()
	var last apiv1.Nodes
	err := c.WaitReached(ctx, v, func(n apiv1.Nodes) { last = n })
	switch {
	case err == nil:
		if !a.json() {
			a.printf("version %s is in force at all nodes\n", v)
		}
		return nil
	case errors.Is(err, client.ErrNodesUnknown):
		return fmt.Errorf("%w: %w", errNotReached, err)
	}
	return fmt.Errorf("%w: %d of %d at the present version: %w", errNotReached, last.Reached, last.Total, err)
}

func (a *app) get(ctx context.Context, f *writeFlags) error {
	t := resource.Type(f.typ)
	if resource.New(t) == nil {
		return usagef("%q is not a type of resource", f.typ)
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
	list := make([]apiv1.Resource, len(objects))
	for i, o := range objects {
		list[i] = apiv1.Resource{Object: o}
	}
	return a.printJSON(list)
}

func (a *app) delete(ctx context.Context, f *writeFlags) error {
	k := resource.Key{Type: resource.Type(f.typ), Name: f.name}
	if resource.New(k.Type) == nil {
		return usagef("%q is not a type of resource", f.typ)
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
	done, err := c.Delete(ctx, k, f.revision, client.WriteOptions{DryRun: f.dryRun})
	if err != nil {
		return err
	}
	if err := a.printApplied(done, 0); err != nil {
		return err
	}
	return a.wait(ctx, c, f, done.Version)
}

func (a *app) diff(ctx context.Context, f *writeFlags) error {
	_, list, err := a.plan(ctx, f.file)
	if err != nil {
		return err
	}
	changes := slices.DeleteFunc(list, func(d difference) bool { return d.Action == actionKeep })
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
