package main

import (
	"errors"
	"net/http"
	"time"
)

// addedRoute adds a route to a second service below that of the first one, and sends requests whose path does not begin
// with the prefix of the new route: it has an encoded slash, which is part of a segment, where the prefix has a slash.
func addedRoute(f *fleet, trouble bool) error {
	f.clusters = append(f.clusters, "audit")
	core, op, err := startCore(f)
	if err != nil {
		return err
	}
	var nodes []*vm
	for _, v := range f.vms {
		if v.role == "node" {
			nodes = append(nodes, v)
		}
	}
	nodes[1].service = "audit"
	shop, err := startWorker(nodes[0], "worker-shop")
	if err != nil {
		return err
	}
	defer shop.close()
	audit, err := startWorker(nodes[1], "worker-audit")
	if err != nil {
		return err
	}
	defer audit.close()
	time.Sleep(contact)
	const path = "/order/archive%2F7"
	if f.send(path, "", "before") != http.StatusOK || shop.ran("before") != 1 {
		return errors.New("the request before the change was not run by its service")
	}
	if trouble {
		f.rules = append(f.rules, rule("r-archive", "/order/archive/", "audit", 2000))
	}
	if err := op.change(core, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(configApply)
	f.send(path, "", "after")
	if audit.ran("after") > 0 {
		return breaks("the request for %s was run by audit; of the routes of all manifests, only /order/ begins its path, and goes to shop", path)
	}
	return nil
}
