package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["paths"] = paths }

// pathsOfClients are requested one after the other, on a route with the prefix "/".
var pathsOfClients = []string{"//edge/index", "//files/a/b?c=d", "///a", "/a//b", "/a/../b", "/a%2Fb?x=%20&y"}

// paths sends requests on a route with the prefix "/". Each must reach a searcher with its path unchanged. With
// trouble unset, no path begins with two slashes.
func paths(d *Deployment, trouble bool) (bool, error) {
	route := Route("all", "/", "unsafe")
	route["service"] = fileService
	d.Configure(5, []any{Service(fileService, 0)}, route)
	searchers, err := d.AddSearchers(fileService, 2, fileWork)
	if err != nil {
		return false, err
	}
	if err := d.StartDaemons(Machine{Name: "front-a-1", Zone: "zone-a", CPUShare: 0.4}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	c := &Client{Addr: d.Daemons[0].Front}
	defer c.Close()
	sent := make(map[string]string) // path by request ID
	for i, path := range pathsOfClients {
		if !trouble {
			path = "/" + strings.TrimLeft(path, "/")
		}
		id := fmt.Sprintf("r%d", i)
		sent[id] = path
		a := c.Do("POST", path, id, "body", fileDeadline)
		d.Record.AddAt(a.Sent, "request %s: POST %q, status %d %s", id, path, a.Status, a.ErrorMsg)
	}
	ran, changed := 0, 0
	for _, s := range searchers {
		for _, a := range s.Arrivals() {
			ran++
			problem := ""
			if a.URI != sent[a.ID] {
				changed++
				problem = " BROKEN: the path has changed"
			}
			d.Record.AddAt(a.At, "request %s runs at %s as %s %q%s", a.ID, s.ID, a.Method, a.URI, problem)
		}
	}
	fmt.Printf("%d of %d requests ran with another path\n", changed, ran)
	if ran == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed == 0, nil
}
