package gossip

import (
	"time"

	"github.com/godwithub/godwithub/fleet"
)

// maxStoreRequests bounds the requests that wait for the disk. Further ones are dropped, and sent again by their nodes.
const maxStoreRequests = 4096

// storing tracks which departures a member with a disk has stored.
type storing struct {
	version uint64 // rises with each departure that is added, of any node
	stored  uint64 // version on the disk
	// due is set when departures have to be stored. The owner of the core clears it.
	due     bool
	waiting []storeRequest
}

// storeRequest is a request to store departures, which were added before it arrived.
type storeRequest struct {
	from    fleet.NodeID
	addr    string
	probe   uint64 // number of the confirmation at the sender
	version uint64 // the departures are on the disk with this version
}

// departureAdded notes that a departure of any node was added.
func (c *core) departureAdded() {
	c.storing.version++
	c.storing.due = true
}

// answerOnceStored answers a request to store departures once they are on the disk. A member without a disk does
// not answer.
func (c *core) answerOnceStored(r storeRequest) {
	s := &c.storing
	if c.cfg.Departures == nil || len(s.waiting) >= maxStoreRequests {
		return
	}
	r.version = s.version
	if s.stored >= r.version {
		c.send(r.from, r.addr, kindStored, r.probe, "")
		return
	}
	s.due = true // also after a failed attempt
	s.waiting = append(s.waiting, r)
}

// departuresStored notes that all departures up to a version are on the disk, and answers the requests for them.
func (c *core) departuresStored(version uint64) {
	s := &c.storing
	s.stored = max(s.stored, version)
	waiting := s.waiting
	s.waiting = nil
	answered := map[storeRequest]bool{}
	for _, r := range waiting {
		if r.version > s.stored {
			s.waiting = append(s.waiting, r)
			continue
		}
		// A node repeats its request while it waits.
		r.version = 0
		if !answered[r] {
			answered[r] = true
			c.send(r.from, r.addr, kindStored, r.probe, "")
		}
	}
}

// storeFailed drops the requests that wait, so that their number stays small while the disk refuses writes.
// Their nodes repeat them.
func (c *core) storeFailed() { c.storing.waiting = nil }

// returnDepartures sends a node whose process is new to this member the departures that an earlier process has
// recorded. Members with a disk do so, since all others may have lost them together with that process.
func (c *core) returnDepartures(now time.Time, m *member) {
	if c.cfg.Departures == nil || len(m.departures) == 0 {
		return
	}
	c.sendParts(m.id, m.meta.GossipAddr, departureParts(m.id, m.departures.entries(now)))
}

// queueStoredDepartures queues all departures for other members. A member with a disk does so when it joins: it may be the
// only one that has loaded them.
func (c *core) queueStoredDepartures(now time.Time) {
	if c.cfg.Departures == nil {
		return
	}
	for _, m := range c.peers {
		for _, e := range m.departures.entries(now) {
			c.queueDeparture(m, e)
		}
	}
}
