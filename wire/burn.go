package wire

import "github.com/godwithub/godwithub/link"

// Frame types of the request counts from which control computes burn rates.
const (
	FrameBurn      link.FrameType = 56 // burn.Totals, node to control
	FrameBurnReply link.FrameType = 57 // burn.Reply, the answer to FrameBurn
)
