package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["odd-entry"] = oddEntry }

const (
	drainTime   = 3 * time.Second // drain_ms
	oddClients  = 12
	oddPause    = 50 * time.Millisecond
	servedAfter = 3 * time.Second // a searcher that drains serves for drain_ms and so much longer
)

// oddEntry writes an entry that cannot be read beside those of the searchers, and lets a searcher drain. No
// request may reach the searcher later than drain_ms after the store has acknowledged that it drains.
func oddEntry(d *Deployment, trouble bool) (bool, error) {
	route := Route("files", filePath, "unsafe")
	route["service"] = fileService
	d.Configure(5, []any{Service(fileService, 0)}, route)
	searchers, err := d.AddSearchers(fileService, 3, fileWork)
	if err != nil {
		return false, err
	}
	if err := d.StartDaemons(equalMachines()...); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second) // the start of the machines is over
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range oddClients {
		clients.Go(func() {
			c := &Client{Addr: d.Daemons[i%len(d.Daemons)].Front}
			defer c.Close()
			for n := 0; pause(stop, oddPause); n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				a := c.Do("POST", filePath+"x", id, "body", fileDeadline)
				d.Record.AddAt(a.Sent, "request %s: status %d %s", id, a.Status, a.ErrorMsg)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		at, _ := d.Store.Put(kindSearchers, "x-7", map[string]any{
			"service": fileService, "address": unreadable, "zone": searcherZone, "version": firstVersion, "concurrency": defaultSlots,
			"state": stateReady, "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		d.Record.AddAt(at, "another writer's entry x-7 has bytes that cannot be read")
	}
	time.Sleep(2 * time.Second)
	s := searchers[0]
	acknowledged := s.Drain()
	d.Record.AddAt(acknowledged, "the store has acknowledged that %s drains", s.ID)
	time.Sleep(drainTime + servedAfter)
	close(stop)
	clients.Wait()
	late, all := 0, 0
	for _, a := range s.Arrivals() {
		all++
		if a.At.Sub(acknowledged) > drainTime {
			late++
			d.Record.AddAt(a.At, "request %s reaches %s", a.ID, s.ID)
		}
	}
	fmt.Printf("%d of %d requests reached %s later than %s after the acknowledgement\n", late, all, s.ID, drainTime)
	if all == 0 {
		return false, fmt.Errorf("no request reached the searcher")
	}
	return late == 0, nil
}
