package control

import (
	"github.com/godwithub/godwithub/resource"
)

// maxRetired bounds the deleted services whose groups are remembered. There
// are 520 services at the target scale.
const maxRetired = 4096

// retiredService is a deleted service and the group that holds its claims.
type retiredService struct {
	Service string `cbor:"1,keyasint"`
	Group   string `cbor:"2,keyasint"`
}

// retired remembers the groups of deleted services. A service that is created
// again under the same name returns to its group; in another one, requests
// claimed before the deletion could run again.
type retired struct {
	group map[string]string
	queue []retiredService // the longest ago first
}

func newRetired(queue []retiredService) *retired {
	r := &retired{group: map[string]string{}}
	for _, e := range queue {
		r.add(e)
	}
	return r
}

func (r *retired) add(e retiredService) {
	r.group[e.Service] = e.Group
	r.queue = append(r.queue, e)
	if len(r.queue) > maxRetired {
		delete(r.group, r.queue[0].Service)
		r.queue = r.queue[1:]
	}
}

// record follows the replacement of before by after; either may be nil.
func (r *retired) record(before, after resource.Object) {
	if service, ok := after.(*resource.Service); ok {
		r.remove(service.Name)
		return
	}
	if service, ok := before.(*resource.Service); ok && service.Group != "" {
		r.add(retiredService{service.Name, service.Group})
	}
}

func (r *retired) remove(service string) {
	if _, ok := r.group[service]; !ok {
		return
	}
	delete(r.group, service)
	for i, e := range r.queue {
		if e.Service == service {
			r.queue = append(r.queue[:i:i], r.queue[i+1:]...)
			return
		}
	}
}

// settleGroup sets the group of a written service, or records a fault if the
// write would change it.
func (s *staged) settleGroup(k resource.Key) {
	service, ok := s.after[k].(*resource.Service)
	if !ok {
		return
	}
	fixed := s.fixedGroup(k)
	switch {
	case service.Group == "":
		s.assignGroup(service, fixed)
	case fixed != "" && service.Group != fixed:
		s.fault(k, "group", "%q would replace %q; the group of a service never changes", service.Group, fixed)
	}
}

// assignGroup gives service its fixed group, or the least used one.
func (s *staged) assignGroup(service *resource.Service, fixed string) {
	if fixed == "" {
		fixed = s.leastUsedGroup(service.HomeRegion)
	}
	service.Group = fixed
	if s.groupUse != nil && !s.m.index.uses(resource.KeyOf(service), groupKey(fixed)) {
		s.groupUse[fixed]++
	}
}

func groupKey(name string) resource.Key { return resource.Key{Type: resource.TypeGroup, Name: name} }

// fixedGroup returns the group that holds the claims of service k, or "" if
// none does.
func (s *staged) fixedGroup(k resource.Key) string {
	if current, ok := s.m.set.Get(k).(*resource.Service); ok {
		return current.Group
	}
	group := s.m.retired.group[k.Name]
	if group == "" || s.get(groupKey(group)) == nil {
		return ""
	}
	return group
}

// leastUsedGroup returns the group of region with the fewest services, the
// first by name among equals, or "" if there is none. An empty region stands
// for all.
func (s *staged) leastUsedGroup(region string) string {
	if s.groupUse == nil {
		s.groups = s.namesAfter(resource.TypeGroup)
		s.countGroupUse()
	}
	best := ""
	for _, name := range s.groups {
		group := s.get(groupKey(name)).(*resource.Group)
		if region != "" && group.HomeRegion != region {
			continue
		}
		if best == "" || s.groupUse[name] < s.groupUse[best] {
			best = name
		}
	}
	return best
}

// countGroupUse counts the services of each group: those of the set that the
// batch leaves, and those of the batch that have a group so far.
func (s *staged) countGroupUse() {
	s.groupUse = make(map[string]int, len(s.groups))
	for _, name := range s.groups {
		for user := range s.m.index.users[groupKey(name)] {
			if o, written := s.after[user]; !written || o != nil {
				s.groupUse[name]++
			}
		}
	}
	for _, w := range s.writes {
		service, ok := s.after[w.Key].(*resource.Service)
		if ok && service.Group != "" && !s.m.index.uses(w.Key, groupKey(service.Group)) {
			s.groupUse[service.Group]++
		}
	}
}
