package wire

import "github.com/godwithub/godwithub/link"

// Frame types of the quotas of customers.
const (
	FrameQuotaDemand link.FrameType = 64 // quota.Demand, node to a control member
	FrameQuotaGrant  link.FrameType = 65 // quota.Grant, the answer to the other frames
	// FrameQuotaPending is sent before FrameQuotaGrant if that takes long. It is empty and tells the node
	// that it need not ask another member.
	FrameQuotaPending link.FrameType = 66
	FrameQuotaLeader  link.FrameType = 67 // quota.Demand, control member to the leader
	FrameQuotaRelay   link.FrameType = 68 // quota.Demand, node to another node, which passes it to control
)
