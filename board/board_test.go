package board

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/logging"
	"github.com/godwithub/godwithub/resource"
)

// Guards against requests that wait for the first configuration and are not woken when it
// arrives.
func TestReplacedIsClosedByNextView(t *testing.T) {
	b := New(fleet.Node{ID: "n"}, logging.Discard(), func(Action) {}, Controllers()...)
	first := b.View()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	go b.Run(ctx)
	assert.NilError(t, b.Post(ctx, ConfigChanged{Config: resource.Compile(resource.NewSet(resource.Version{Epoch: 1}))}))
	select {
	case <-first.Replaced:
	case <-ctx.Done():
		t.Fatal("the first view was not replaced")
	}
	assert.Assert(t, b.View().Config != nil)
}
