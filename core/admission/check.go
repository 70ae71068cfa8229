package admission

import (
	"fmt"
	"slices"
)

// Check returns an error that describes the first violated invariant, in the order of the keys,
// or nil. Its cost is linear in the number of keys, queued requests and attempts in flight.
func (o *Owner) Check() error {
	var sum totals
	for _, k := range o.order {
		if o.keys[k.id] != k {
			return fmt.Errorf("%s: key is not registered", k.id)
		}
		if err := o.checkKey(k, &sum); err != nil {
			return fmt.Errorf("%s: %w", k.id, err)
		}
	}
	return o.checkTotals(sum)
}

// totals holds sums over all keys.
type totals struct{ attempts, queued, queuedSubmits int }

func (o *Owner) checkTotals(sum totals) error {
	if sum.attempts != len(o.attempts) {
		return fmt.Errorf("%d attempts registered, %d attempts of running requests", len(o.attempts), sum.attempts)
	}
	if sum.queued != o.queued || sum.queuedSubmits != o.queuedSubmits {
		return fmt.Errorf("%d requests and %d submits queued, counted as %d and %d",
			sum.queued, sum.queuedSubmits, o.queued, o.queuedSubmits)
	}
	return nil
}

func (o *Owner) checkKey(k *shardKey, sum *totals) error {
	for _, r := range k.queue.items {
		if err := k.checkQueued(r); err != nil {
			return err
		}
		sum.queued++
		if !r.sub.Kind.Idempotent() {
			sum.queuedSubmits++
		}
	}
	waiting := k.queue.len()
	for _, r := range k.running {
		if err := o.checkRunning(k, r); err != nil {
			return err
		}
		sum.attempts += len(r.attempts)
		if !r.done {
			waiting++
		}
	}
	if waiting != len(k.pending) {
		return fmt.Errorf("%d requests unanswered, %d of them queued or running", len(k.pending), waiting)
	}
	for _, s := range k.servers {
		if err := k.checkServer(s); err != nil {
			return err
		}
	}
	return nil
}

func (k *shardKey) checkQueued(r *request) error {
	switch {
	case r.done:
		return fmt.Errorf("query %d run %d is queued although it was answered", r.sub.Query, r.sub.Run)
	case !r.queued || k.pending[r.id()] != r:
		return fmt.Errorf("query %d run %d is queued but not registered", r.sub.Query, r.sub.Run)
	case len(r.attempts) > 0:
		return fmt.Errorf("query %d run %d is queued while an attempt runs", r.sub.Query, r.sub.Run)
	case r.mayHaveRun && !r.sub.Kind.Idempotent():
		return fmt.Errorf("submit of query %d is queued although it may have run", r.sub.Query)
	}
	return nil
}

func (o *Owner) checkRunning(k *shardKey, r *request) error {
	if len(r.attempts) == 0 {
		return fmt.Errorf("query %d run %d is running without an attempt", r.sub.Query, r.sub.Run)
	}
	for _, a := range r.attempts {
		if a.server == nil || !slices.Contains(k.servers, a.server) {
			return fmt.Errorf("attempt %d does not run on a server of the key", a.id)
		}
		if o.attempts[a.id] != a {
			return fmt.Errorf("attempt %d is not registered", a.id)
		}
	}
	if r.sub.Kind.Idempotent() {
		return nil
	}
	if len(r.attempts) > 1 || r.mayHaveRun {
		return fmt.Errorf("submit of query %d has two attempts that may have run", r.sub.Query)
	}
	for _, q := range k.running {
		if q != r && q.sub.Dedupe != "" && q.sub.Dedupe == r.sub.Dedupe && !q.sub.Kind.Idempotent() {
			return fmt.Errorf("idempotency key %q runs in queries %d and %d", r.sub.Dedupe, r.sub.Query, q.sub.Query)
		}
	}
	return nil
}

// checkServer compares the attempts in flight on a server with the limit at the time when the
// latest of them started. The current limit may be lower, since a limit can be reduced while
// attempts run.
func (k *shardKey) checkServer(s *server) error {
	inFlight := 0
	var last *attempt
	for _, r := range k.running {
		for _, a := range r.attempts {
			if a.server != s {
				continue
			}
			inFlight++
			if last == nil || a.id > last.id {
				last = a
			}
		}
	}
	if inFlight != s.inFlight {
		return fmt.Errorf("server %s has %d attempts in flight, counted as %d", s.config.ID, inFlight, s.inFlight)
	}
	if last != nil && inFlight > last.limit {
		return fmt.Errorf("server %s has %d attempts in flight with a limit of %d", s.config.ID, inFlight, last.limit)
	}
	if s.limit > s.slots {
		return fmt.Errorf("server %s has limit %d above its %d slots", s.config.ID, s.limit, s.slots)
	}
	return nil
}
