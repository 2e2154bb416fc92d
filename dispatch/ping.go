package dispatch

import (
	"context"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// servePing answers a test of the path to this node.
func servePing(_ context.Context, s link.Stream, _ link.Frame) {
	if s.WriteFrame(wire.FrameDone, nil) != nil {
		s.Reset()
		return
	}
	s.Close()
}
