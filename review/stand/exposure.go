package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["exposure"] = exposure }

const (
	exposureRate    = 60.0 // requests a second
	exposureGrowth  = 1.8  // of the load when the rollout is completed
	exposureClients = 100
	exposureWork    = 20 * time.Millisecond
	exposureSlots   = 60
	rolloutLength   = 12 * time.Second
	newVersion      = "v2"
	canaryShare     = 0.1 // canary_share
	canarySlack     = 50  // canary_slack
	budgetWindow    = 10 * time.Second
)

// exposure orders a rollout to a version that turns bad when it is completed, with the load growing at the same
// time. From the order to the deadline the version may get at most canaryShare of the requests, and canarySlack.
// With trouble unset, the version stays good and the load as it is.
func exposure(d *Deployment, trouble bool) (bool, error) {
	route := Route("files", filePath, "safe")
	route["service"] = fileService
	service := Service(fileService, 0)
	service["max_conns"] = 300
	d.Configure(5, []any{service}, route)
	old, err := d.AddSearchers(fileService, 2, exposureWork)
	if err != nil {
		return false, err
	}
	if err := d.StartDaemons(equalMachines()...); err != nil {
		return false, err
	}
	time.Sleep(budgetWindow + listTime) // from then on the machines use their whole retry budget
	load := startExposureLoad(d)
	time.Sleep(4 * time.Second)
	added, err := d.AddSearchers(fileService, 2, exposureWork)
	if err != nil {
		return false, err
	}
	for _, s := range added {
		s.SetVersion(newVersion)
	}
	for _, s := range slices.Concat(old, added) {
		s.SetSlots(exposureSlots)
	}
	ordered, _ := d.Store.Put("rollouts", fileService, map[string]any{
		"service": fileService, "target_version": newVersion, "duration_s": rolloutLength.Seconds(),
	})
	d.Record.AddAt(ordered, "the rollout is ordered")
	before := load.sent.Load()
	for deadline := ordered.Add(rolloutLength); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if d.Store.Status("rollouts", fileService)["state"] != "completed" {
			continue
		}
		d.Record.Add("the rollout is completed")
		if trouble {
			for _, s := range added {
				s.SetBad()
			}
			load.perSecond.Store(int64(exposureRate * exposureGrowth))
		}
		for _, s := range old {
			s.Close()
			d.Store.Remove(kindSearchers, s.ID)
		}
		time.Sleep(time.Until(deadline))
	}
	all := load.sent.Load() - before
	got := 0
	for _, s := range added {
		got += len(s.Arrivals())
	}
	load.end()
	bound := canaryShare*float64(all) + canarySlack
	fmt.Printf("the new version got %d of %d requests by the deadline, the bound is %.0f\n", got, all, bound)
	return float64(got) <= bound, nil
}

// exposureLoad sends requests at a rate, whatever their answers are.
type exposureLoad struct {
	perSecond, sent atomic.Int64
	stop            chan struct{}
	clients         sync.WaitGroup
}

func startExposureLoad(d *Deployment) *exposureLoad {
	l := &exposureLoad{stop: make(chan struct{})}
	l.perSecond.Store(int64(exposureRate))
	numbers := make(chan int, exposureClients)
	for i := range exposureClients {
		l.clients.Go(func() {
			c := &Client{Addr: d.Daemons[i%len(d.Daemons)].Front}
			defer c.Close()
			for n := range numbers {
				l.sent.Add(1)
				a := c.Do("GET", filePath+"x", fmt.Sprintf("c%d", n), "", fileDeadline)
				d.Record.AddAt(a.Sent, "request %s: status %d %s", a.ID, a.Status, a.ErrorMsg)
			}
		})
	}
	l.clients.Go(func() {
		defer close(numbers)
		last, due := time.Now(), 0.0
		for n := 0; pause(l.stop, 2*time.Millisecond); {
			now := time.Now()
			due += now.Sub(last).Seconds() * float64(l.perSecond.Load())
			last = now
			for ; due >= 1; due-- {
				numbers <- n
				n++
			}
		}
	})
	return l
}

func (l *exposureLoad) end() {
	close(l.stop)
	l.clients.Wait()
}
