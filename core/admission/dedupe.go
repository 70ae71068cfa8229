package admission

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// SubmitMemory is the time for which the idempotency keys of submits are remembered.
const SubmitMemory = 10 * time.Minute

// unkeyedPrefix marks submits without idempotency key, which are remembered by their
// identity so that a doubled message does not run them again.
const unkeyedPrefix = "\x00"

// submitLog remembers the submits of one shard key.
type submitLog struct {
	byKey map[string]submitRecord
	order []seenSubmit // by time; entries that differ from byKey are outdated
}

type submitRecord struct {
	by     requestID // zero for those of a previous owner
	seen   model.Time
	notRun bool
}

type seenSubmit struct {
	key  string
	seen model.Time
}

func newSubmitLog() submitLog { return submitLog{byKey: make(map[string]submitRecord)} }

func submitKey(sub *model.SubRequest) string {
	if sub.Dedupe != "" {
		return sub.Dedupe
	}
	return fmt.Sprintf("%s%s/%d/%d", unkeyedPrefix, sub.Entry, sub.Query, sub.Run)
}

// purge forgets what is older than SubmitMemory.
func (l *submitLog) purge(now model.Time) {
	n := 0
	for n < len(l.order) && now.Sub(l.order[n].seen) >= SubmitMemory {
		e := l.order[n]
		if l.byKey[e.key].seen == e.seen {
			delete(l.byKey, e.key)
		}
		n++
	}
	l.order = l.order[n:]
}

func (l *submitLog) empty(now model.Time) bool {
	l.purge(now)
	return len(l.byKey) == 0
}

func (l *submitLog) record(key string, by requestID, now model.Time) {
	l.byKey[key] = submitRecord{by: by, seen: now}
	l.order = append(l.order, seenSubmit{key, now})
}

// settle notes how a submit ended.
func (l *submitLog) settle(r *request, notRun bool) {
	if r.sub.Kind.Idempotent() {
		return
	}
	key := submitKey(&r.sub)
	rec, ok := l.byKey[key]
	if !ok {
		return
	}
	rec.notRun = notRun
	l.byKey[key] = rec
}

// inherit adds the submits of the previous owner. What one owner saw run outweighs that
// another one refused it.
func (l *submitLog) inherit(submits []model.SeenSubmit) {
	for _, s := range submits {
		merged := submitRecord{seen: s.Seen, notRun: s.NotRun}
		if rec, known := l.byKey[s.Dedupe]; known {
			merged.seen = max(rec.seen, s.Seen)
			merged.notRun = rec.notRun && s.NotRun
		}
		l.byKey[s.Dedupe] = merged
		l.order = append(l.order, seenSubmit{s.Dedupe, merged.seen})
	}
	slices.SortFunc(l.order, func(a, b seenSubmit) int {
		if c := cmp.Compare(a.seen, b.seen); c != 0 {
			return c
		}
		return strings.Compare(a.key, b.key)
	})
}

// recent lists the remembered idempotency keys for a release.
func (l *submitLog) recent(now model.Time) []event.RecentSubmit {
	l.purge(now)
	var all []event.RecentSubmit
	for key, rec := range l.byKey {
		if strings.HasPrefix(key, unkeyedPrefix) {
			continue
		}
		all = append(all, event.RecentSubmit{Dedupe: key, Age: now.Sub(rec.seen), NotRun: rec.notRun})
	}
	slices.SortFunc(all, func(a, b event.RecentSubmit) int { return strings.Compare(a.Dedupe, b.Dedupe) })
	return all
}

// admitSubmit records a submit, or answers it if it may have run before.
func (o *Owner) admitSubmit(k *shardKey, sub *model.SubRequest) bool {
	k.submits.purge(o.now)
	key := submitKey(sub)
	rec, seen := k.submits.byKey[key]
	id := requestID{sub.Entry, sub.Query, sub.Run}
	if seen && !rec.notRun && rec.by == id {
		return false // a doubled message; the first one is or was answered
	}
	if seen && !rec.notRun {
		o.count(CountDuplicates)
		o.reject(sub, model.OutcomeDuplicate, "idempotency key seen before")
		return false
	}
	complete := sub.Dedupe != "" && o.now.Sub(k.heldSince) >= SubmitMemory
	if sub.Repeat && !seen && !complete {
		o.count(CountRepeats)
		o.reject(sub, model.OutcomeLost, "repeat of a submit that a previous owner may have run")
		return false
	}
	k.submits.record(key, id, o.now)
	return true
}
