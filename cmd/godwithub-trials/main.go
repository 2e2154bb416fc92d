// Command godwithub-trials measures the decision packages on synthetic traces
// with a simulated clock and prints tables in Markdown.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/godwithub/godwithub/internal/loadsim"
	"github.com/godwithub/godwithub/internal/trials"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

type options struct {
	Seeds      int    `flag:"seeds" usage:"number of seeds; they are counted from 1" range:"1 to 100" validate:"min=1,max=100"`
	Parallel   int    `flag:"parallel" usage:"number of runs at the same time" range:"1 to 64" validate:"min=1,max=64"`
	Deployment string `flag:"deployment" usage:"measure only deployments whose name contains this text"`
	Method     string `flag:"method" usage:"measure only this detection method: sequential, consecutive or windows" validate:"omitempty,oneof=sequential consecutive windows"`
	Only       string `flag:"only" usage:"print only this table: detection, false, quiet, overload, attempts, cost or load"`
}

func main() {
	o := options{Seeds: 5, Parallel: 4}
	program := settings.Program{Name: "godwithub-trials", Description: "Measures the decision packages on synthetic traces.", Version: version.Version}
	err := settings.Parse(program, &o, os.Args[1:])
	if err == nil {
		err = run(&o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// measurement is a table of results that is made for each deployment.
type measurement struct {
	name, title string
	make        func(trials.Config, *trials.Deployment) trials.Table
}

func run(o *options) error {
	if o.Only == "load" {
		loadsim.Print(os.Stdout, o.Deployment)
		return nil
	}
	c := trials.Config{Parallel: o.Parallel, Method: o.Method}
	for seed := range o.Seeds {
		c.Seeds = append(c.Seeds, uint64(seed+1))
	}
	measurements := []measurement{
		{"detection", "detection of one unhealthy upstream, load 0.6", trials.Detection},
		{"false", "ejections without an unhealthy upstream", trials.FalseEjections},
		{"quiet", "false alarms from 6 h of observations a seed", trials.FalseAlarms},
		{"overload", "service by rank, the most urgent first", trials.Overload},
		{"attempts", "attempts per request", trials.AllFailing},
		{"cost", "cost in microseconds of real time", trials.Cost},
	}
	fmt.Printf("Cells with two figures are median / worst over seeds 1 to %d.\n", o.Seeds)
	for _, d := range trials.Deployments() {
		if !strings.Contains(d.Name, o.Deployment) {
			continue
		}
		for _, m := range measurements {
			if o.Only != "" && o.Only != m.name {
				continue
			}
			t := m.make(c, &d)
			t.Title = d.Name + ": " + m.title
			if err := t.Write(os.Stdout); err != nil {
				return err
			}
		}
	}
	return nil
}
