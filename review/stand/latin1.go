package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["latin1"] = latin1 }

const latin1Time = 20 * time.Second

// latin1 sends, beside the requests of other clients, some with a header value in ISO 8859-1. No rule is
// checked: it prints how the requests of both kinds of clients ended.
func latin1(d *Deployment, trouble bool) (bool, error) {
	shards, services := findServices()
	gathered := Route("find", findPath, "safe")
	gathered["gather"], gathered["top_k"], gathered["min_coverage"] = shards, findTop, 0.5
	d.Configure(7, services, gathered)
	for _, name := range shards {
		if _, err := d.AddSearchers(name, 2, 80*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.StartDaemons(mixedMachines()...); err != nil {
		return false, err
	}
	time.Sleep(listTime)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	plain, other := map[int]int{}, map[int]int{} // requests by status
	for i := range 10 {
		clients.Go(func() {
			c, statuses := &Client{Addr: d.Daemons[2].Front}, plain
			defer c.Close()
			if i == 0 {
				statuses = other
				if trouble {
					c.ExtraHeader = "X-Name: Herv\xe9\r\n"
				}
			}
			for n := 0; pause(stop, 100*time.Millisecond); n++ {
				a := c.Do("GET", findPath+"q", fmt.Sprintf("c%d-%d", i, n), "", findDeadline)
				d.Record.AddAt(a.Sent, "request %s: status %d, %s", a.ID, a.Status, strings.TrimSpace(c.ExtraHeader))
				mu.Lock()
				statuses[a.Status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(latin1Time)
	close(stop)
	clients.Wait()
	fmt.Println("requests by status:", plain, "of the client with the header value:", other)
	return true, nil
}
