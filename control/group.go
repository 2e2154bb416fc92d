package control

import (
	"github.com/godwithub/godwithub/resource"
)

// maxDeletedServices bounds the deleted services whose groups are remembered. The target scale has
// 520 services.
const maxDeletedServices = 4096

// deletedService is a deleted service and the idempotency group that holds its claims.
type deletedService struct {
	Service string `cbor:"1,keyasint"`
	Group   string `cbor:"2,keyasint"`
}

// deletedServices holds the groups of deleted services. A service that is created again under the
// same name is assigned to its former group, because in another group requests that were claimed
// before the deletion could run again.
type deletedServices struct {
	groupByService map[string]string
	queue          []deletedService // earliest deletion first
}

func newDeletedServices(queue []deletedService) *deletedServices {
	d := &deletedServices{groupByService: map[string]string{}}
	for _, e := range queue {
		d.add(e)
	}
	return d
}

func (d *deletedServices) add(e deletedService) {
	d.groupByService[e.Service] = e.Group
	d.queue = append(d.queue, e)
	if len(d.queue) > maxDeletedServices {
		delete(d.groupByService, d.queue[0].Service)
		d.queue = d.queue[1:]
	}
}

// update records that after replaces before; either may be nil.
func (d *deletedServices) update(before, after resource.Object) {
	if service, ok := after.(*resource.Service); ok {
		d.remove(service.Name)
		return
	}
	if service, ok := before.(*resource.Service); ok && service.Group != "" {
		d.add(deletedService{service.Name, service.Group})
	}
}

func (d *deletedServices) remove(service string) {
	if _, ok := d.groupByService[service]; !ok {
		return
	}
	delete(d.groupByService, service)
	for i, e := range d.queue {
		if e.Service == service {
			d.queue = append(d.queue[:i:i], d.queue[i+1:]...)
			return
		}
	}
}

// resolveGroup assigns a group to a written service that names none, and records a fault if the
// write would move the service to another group.
func (s *staged) resolveGroup(k resource.Key) {
	service, ok := s.after[k].(*resource.Service)
	if !ok {
		return
	}
	fixed := s.fixedGroup(k)
	switch {
	case service.Group == "":
		s.assignGroup(service, fixed)
	case fixed != "" && service.Group != fixed:
		s.addFault(k, "group", "%q would replace %q; the group of a service never changes", service.Group, fixed)
	}
}

// assignGroup assigns service to its fixed group or, without one, to the least used group.
func (s *staged) assignGroup(service *resource.Service, fixed string) {
	if fixed == "" {
		fixed = s.leastUsedGroup(service.HomeRegion)
	}
	service.Group = fixed
	if s.servicesPerGroup != nil && !s.m.index.refersTo(resource.KeyOf(service), groupKey(fixed)) {
		s.servicesPerGroup[fixed]++
	}
}

func groupKey(name string) resource.Key { return resource.Key{Type: resource.TypeGroup, Name: name} }

// fixedGroup returns the group that holds the claims of service k from before this batch, or "" if
// there is none. A service that was deleted has the group that it had then.
func (s *staged) fixedGroup(k resource.Key) string {
	if current, ok := s.m.set.Get(k).(*resource.Service); ok {
		return current.Group
	}
	group := s.m.deletedServices.groupByService[k.Name]
	if group == "" || s.get(groupKey(group)) == nil {
		return ""
	}
	return group
}

// leastUsedGroup returns the group in region with the fewest services, the first by name among
// equals, or "" if there is none. An empty region matches all groups.
func (s *staged) leastUsedGroup(region string) string {
	if s.servicesPerGroup == nil {
		s.groups = s.namesAfter(resource.TypeGroup)
		s.countServicesPerGroup()
	}
	best := ""
	for _, name := range s.groups {
		group := s.get(groupKey(name)).(*resource.Group)
		if region != "" && group.HomeRegion != region {
			continue
		}
		if best == "" || s.servicesPerGroup[name] < s.servicesPerGroup[best] {
			best = name
		}
	}
	return best
}

// countServicesPerGroup counts the services of each group: those of the set that the batch does not
// delete, and those of the batch that already have a group.
func (s *staged) countServicesPerGroup() {
	s.servicesPerGroup = make(map[string]int, len(s.groups))
	for _, name := range s.groups {
		for user := range s.m.index.referrers[groupKey(name)] {
			if o, written := s.after[user]; !written || o != nil {
				s.servicesPerGroup[name]++
			}
		}
	}
	for _, w := range s.writes {
		service, ok := s.after[w.Key].(*resource.Service)
		if ok && service.Group != "" && !s.m.index.refersTo(w.Key, groupKey(service.Group)) {
			s.servicesPerGroup[service.Group]++
		}
	}
}
