package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// runEmptyHost plays a change of the configuration that removes the last route of a host. Without the trouble, it
// removes a route of a host that has another one.
func runEmptyHost(r *record, trouble bool) (int, error) {
	const service = "huvo11a"
	f, err := newFleet(3, []string{service})
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop(false)
	if err := f.startAll(); err != nil {
		return exitNotRun, err
	}
	routes := []routeSpec{
		{"r-v72xgy3", "ficu95.example", "/lohu930/", "safe", service, 4000, 2, 1},
		{"r-2b9wu3f", "ficu95.example", "/pufi791/", "unsafe", service, 4000, 1, 0},
		{"r-i9n73hh", "jepu9.example", "/lepu270/", "safe", service, 4000, 2, 1},
	}
	first := document(1, 0, []string{service}, routes)
	second := document(2, 1, []string{service}, routes[:2], "jepu9.example")
	if !trouble {
		second = document(2, 1, []string{service}, routes[1:])
	}
	for _, d := range [][]byte{first, second} {
		r.add("operator sends config.replace %s", d)
		status, answer, err := f.replace(d, 10*time.Second)
		if err != nil {
			return exitNotRun, err
		}
		r.add("answer: status %d %s", status, answer)
		if status != http.StatusOK {
			return exitNotRun, fmt.Errorf("the configuration was refused: %d %s", status, answer)
		}
	}
	time.Sleep(4 * time.Second)
	got, err := f.read(10 * time.Second)
	if err != nil {
		return exitNotRun, err
	}
	r.add("config.read returns %s", got)
	sentHosts, readHosts := hostsOf(second), hostsOf(got)
	r.say("sent under 00000002: hosts %q; read back: hosts %q", sentHosts, readHosts)
	if !slices.Equal(sentHosts, readHosts) {
		r.say("CONFIG: read back, the manifest is not what was sent under its number")
		return exitBroken, nil
	}
	return exitHeld, nil
}

// hostsOf returns the hosts of a configuration in the operator's format.
func hostsOf(document []byte) []string {
	var d struct {
		Listeners []struct {
			Host string `json:"host"`
		} `json:"listeners"`
	}
	if json.Unmarshal(document, &d) != nil {
		return nil
	}
	var hosts []string
	for _, l := range d.Listeners {
		hosts = append(hosts, l.Host)
	}
	slices.Sort(hosts)
	return hosts
}
