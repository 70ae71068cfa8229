package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const clientDeadline = 2 * time.Second

// answered is one request of a client and what came back.
type answered struct {
	id     string
	daemon *daemon
	sent   time.Time
	took   time.Duration
	status int // 0 if the connection ended without an answer
	stamp  string
	// service is that of the searcher that has signed the answer.
	service string
	cause   string
}

// load sends requests at a steady rate, in turn to the daemons, on kept connections.
type load struct {
	rec     *recorder
	daemons []*daemon
	client  *http.Client
	method  string
	host    string
	path    string
	body    []byte
	// deadline is X-Deadline-Ms; clientDeadline unless set.
	deadline time.Duration
	prefix   string

	mu      sync.Mutex
	answers []answered
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

func newLoad(rec *recorder, prefix string, daemons []*daemon, method, path string) *load {
	return &load{
		rec: rec, daemons: daemons, method: method, host: "app.example", path: path, prefix: prefix, deadline: clientDeadline,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// start sends perSecond requests a second until stop.
func (l *load) start(perSecond float64) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.wg.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
			d := l.daemons[n%len(l.daemons)]
			l.wg.Go(func() { l.send(d, fmt.Sprintf("%s-%d-%08x", l.prefix, n, rand.Uint32())) })
		}
	})
}

// stop ends the load and waits for the last answers.
func (l *load) stop() []answered {
	l.cancel()
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers
}

func (l *load) send(d *daemon, id string) answered {
	ctx, cancel := context.WithTimeout(context.Background(), l.deadline)
	defer cancel()
	req := must(http.NewRequestWithContext(ctx, l.method, "http://"+d.front+l.path, bytes.NewReader(l.body)))
	req.GetBody = nil // the client itself never sends a request twice
	req.Host = l.host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(l.deadline.Milliseconds(), 10))
	a := answered{id: id, daemon: d, sent: time.Now()}
	l.rec.line("client sends %s to %s", id, d.name)
	resp, err := l.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Server-Stamp")
		a.service, _, _ = strings.Cut(a.stamp, ".")
		if resp.StatusCode/100 != 2 {
			a.cause = strings.TrimSpace(string(body))
		}
	}
	if err != nil {
		a.status, a.cause = 0, err.Error()
	}
	a.took = time.Since(a.sent)
	l.rec.line("client gets %s: %d %s %s after %v", id, a.status, a.stamp, a.cause, a.took.Round(time.Millisecond))
	l.mu.Lock()
	l.answers = append(l.answers, a)
	l.mu.Unlock()
	return a
}
