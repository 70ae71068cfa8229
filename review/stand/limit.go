package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["limit"] = limit }

const (
	smallLimit    = 0.5 // requests a second
	largeLimit    = 12.0
	limitMachines = 6
	limitClients  = 90
	limitPause    = 400 * time.Millisecond
	limitWork     = 600 * time.Millisecond
	limitSlots    = 80
	limitTime     = 50 * time.Second
	stableWindow  = 4 * time.Second // stable_window_ms
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	limitDelay    = 500 * time.Millisecond // after which a machine that has passed on the limit has to keep it
)

// limit has one of two searchers name a Server-Limit in all its answers. In no 4 s may it get more than one and
// a half times what that allows, and five requests, from the machines that have passed on such an answer. With trouble unset, the limit is so large that each machine
// has a part of it.
func limit(d *Deployment, trouble bool) (bool, error) {
	route := Route("files", filePath, "safe")
	route["service"], route["target_latency_ms"], route["max_attempts"] = fileService, 1000, 1
	service := Service(fileService, 0)
	service["max_conns"] = 96
	d.Configure(5, []any{service}, route)
	searchers, err := d.AddSearchers(fileService, 2, limitWork)
	if err != nil {
		return false, err
	}
	for _, s := range searchers {
		s.SetSlots(limitSlots)
	}
	var machines []Machine
	for i := range limitMachines {
		machines = append(machines, Machine{Name: fmt.Sprintf("front-%c-1", 'a'+i), Zone: "zone-a", CPUShare: 0.4})
	}
	if err := d.StartDaemons(machines...); err != nil {
		return false, err
	}
	time.Sleep(coldStart)
	stop := make(chan struct{})
	var mu sync.Mutex
	told := make(map[int]time.Time) // when a machine first passed on an answer with the limit
	var clients sync.WaitGroup
	for i := range limitClients {
		clients.Go(func() {
			c := &Client{Addr: d.Daemons[i%limitMachines].Front}
			defer c.Close()
			for n := 0; pause(stop, limitPause); n++ {
				a := c.Do("GET", filePath+"x", fmt.Sprintf("c%d-%d", i, n), "", fileDeadline)
				d.Record.AddAt(a.Sent, "request %s: status %d %s", a.ID, a.Status, a.ErrorMsg)
				if a.Header.Get("Server-Limit") != "" {
					mu.Lock()
					if _, ok := told[i%limitMachines]; !ok {
						told[i%limitMachines] = a.Sent.Add(a.Took)
					}
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	s, perSecond := searchers[0], largeLimit
	if trouble {
		perSecond = smallLimit
	}
	from := time.Now()
	s.SetLimit(perSecond)
	d.Record.AddAt(from, "searcher %s names the limit %v", s.ID, perSecond)
	time.Sleep(limitTime)
	close(stop)
	clients.Wait()
	var counted []time.Time
	for _, a := range s.Arrivals() {
		client := 0
		_, _ = fmt.Sscanf(a.ID, "c%d-", &client) // the IDs are those of the clients above
		since, ok := told[client%limitMachines]
		counts := ok && a.At.After(since.Add(limitDelay)) && a.At.After(from.Add(stableWindow))
		d.Record.AddAt(a.At, "request %s reaches %s by machine %d, counts: %t", a.ID, s.ID, client%limitMachines, counts)
		if counts {
			counted = append(counted, a.At)
		}
	}
	most, at := mostInWindow(counted, limitWindow)
	bound := limitFactor*perSecond*limitWindow.Seconds() + limitSlack
	fmt.Printf("searcher %s with the limit %v got %d requests in 4 s, %.1f s after it first named it; the bound is %.0f\n",
		s.ID, perSecond, most, at.Sub(from).Seconds(), bound)
	return float64(most) <= bound, nil
}

// mostInWindow returns the largest number of times that lie within a window, and when that window began.
func mostInWindow(times []time.Time, window time.Duration) (most int, at time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, t := range times {
		for t.Sub(times[first]) >= window {
			first++
		}
		if n := i - first + 1; n > most {
			most, at = n, times[first]
		}
	}
	return most, at
}
