package dispatch

import (
	"context"

	"github.com/godwithub/godwithub/link"
	"github.com/godwithub/godwithub/wire"
)

// servePing answers a ping, by which another node tests the path to this one.
func servePing(_ context.Context, s link.Stream, _ link.Frame) {
	if s.WriteFrame(wire.FrameDone, nil) != nil {
		s.Reset()
		return
	}
	s.Close()
}
