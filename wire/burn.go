package wire

import "github.com/godwithub/godwithub/link"

// Frame types of service-level counts.
const (
	FrameBurn      link.FrameType = 56 // burn.Totals, node to control
	FrameBurnReply link.FrameType = 57 // burn.Reply, its answer
)
