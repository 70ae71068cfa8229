package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["cold"] = func(d *Deployment, trouble bool) (bool, error) { return cold(d, coldStart, trouble) }
	// Longer than a case may run: the daemons are up for over three minutes before a searcher becomes cold.
	cases["uptime"] = func(d *Deployment, _ bool) (bool, error) { return cold(d, uptime, false) }
}

const (
	coldStart    = 6 * time.Second // after which the start of the machines is over
	uptime       = 190 * time.Second
	coldRate     = 10.0 // cold_per_s of the service
	coldTime     = 4 * time.Second
	outage       = 4500 * time.Millisecond
	coldClients  = 30
	coldPause    = 300 * time.Millisecond
	fileService  = "files"
	filePath     = "/files/"
	fileWork     = 5 * time.Millisecond
	fileDeadline = 2 * time.Second
	crashRate    = 50 // requests in a second at which a cold searcher crashes, well above its bound
)

// cold makes a searcher cold again while clients use its service, with the store down meanwhile. In no second
// may it get more requests than the bound for cold searchers.
func cold(d *Deployment, wait time.Duration, trouble bool) (bool, error) {
	route := Route("files", filePath, "unsafe")
	route["service"] = fileService
	d.Configure(5, []any{Service(fileService, coldRate)}, route)
	searchers, err := d.AddSearchers(fileService, 2, fileWork)
	if err != nil {
		return false, err
	}
	if err := d.StartDaemons(equalMachines()...); err != nil {
		return false, err
	}
	time.Sleep(wait)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	lost := 0 // requests that may have run and have no result
	for i := range coldClients {
		clients.Go(func() {
			c := &Client{Addr: d.Daemons[i%len(d.Daemons)].Front}
			defer c.Close()
			for n := 0; pause(stop, coldPause); n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				a := c.Do("POST", filePath+"x", id, "body", fileDeadline)
				d.Record.AddAt(a.Sent, "request %s: status %d %s", id, a.Status, a.ErrorMsg)
				if a.Status != 200 && a.Status != 503 {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		d.Record.Add("the store is down")
		d.Store.SetDown(true)
		time.Sleep(500 * time.Millisecond)
	}
	s := searchers[0]
	from := time.Now()
	s.BecomeCold(coldTime, crashRate)
	d.Record.AddAt(from, "searcher %s is cold for %s", s.ID, coldTime)
	time.Sleep(outage - 500*time.Millisecond)
	if trouble {
		d.Store.SetDown(false)
		d.Record.Add("the store is back")
	}
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	bound := coldRate*warmupFactor + warmupSlack
	most := mostInASecond(d, s, from, from.Add(coldTime))
	fmt.Printf("searcher %s got %d requests in one second while it was cold, the bound is %.0f; it got %d health checks\n%d requests may have run and have no result\n", s.ID, most, bound, s.HealthChecks(), lost)
	return float64(most) <= bound, nil
}

// mostInASecond returns the largest number of requests that a searcher got in any second of a time.
func mostInASecond(d *Deployment, s *Searcher, from, to time.Time) int {
	var times []time.Time
	for _, a := range s.Arrivals() {
		if a.At.After(from) && a.At.Before(to) {
			times = append(times, a.At)
			d.Record.AddAt(a.At, "request %s reaches %s", a.ID, s.ID)
		}
	}
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
