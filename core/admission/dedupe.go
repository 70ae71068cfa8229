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

// SubmitRetention is the time for which the idempotency keys of submits are kept.
const SubmitRetention = 10 * time.Minute

// unkeyedPrefix marks the keys of submits without an idempotency key. These are recorded by
// entry, query and run, so that a duplicated message does not run them again.
const unkeyedPrefix = "\x00"

// submitLog holds the recent submits of one shard key, for the detection of duplicates.
type submitLog struct {
	byKey map[string]submitRecord
	order []seenSubmit // by time; an entry whose time differs from that in byKey is outdated
}

type submitRecord struct {
	request requestID // zero for a submit that a previous owner received
	seen    model.Time
	notRun  bool // proven not to have run
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

// purge removes the submits that are older than SubmitRetention.
func (l *submitLog) purge(now model.Time) {
	n := 0
	for n < len(l.order) && now.Sub(l.order[n].seen) >= SubmitRetention {
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

func (l *submitLog) record(key string, id requestID, now model.Time) {
	l.byKey[key] = submitRecord{request: id, seen: now}
	l.order = append(l.order, seenSubmit{key, now})
}

// recordOutcome records whether a finished submit is proven not to have run. It ignores
// idempotent requests.
func (l *submitLog) recordOutcome(r *request, notRun bool) {
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

// merge adds the submits that the previous owner recorded. A submit counts as not run only if
// no owner recorded that it may have run.
func (l *submitLog) merge(submits []model.SeenSubmit) {
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

// recent returns the recorded idempotency keys for the handover, sorted by key.
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

// admitSubmit records a submit and returns true, or returns false if the submit may have run
// before. It rejects such a submit, unless it is a duplicated message of the same request.
func (o *Owner) admitSubmit(k *shardKey, sub *model.SubRequest) bool {
	k.submits.purge(o.now)
	key := submitKey(sub)
	rec, seen := k.submits.byKey[key]
	id := requestID{sub.Entry, sub.Query, sub.Run}
	if seen && !rec.notRun && rec.request == id {
		return false // duplicated message: the reply belongs to the first one
	}
	if seen && !rec.notRun {
		o.count(CountDuplicates)
		o.reject(sub, model.OutcomeDuplicate, "idempotency key seen before")
		return false
	}
	// A log that covers the whole retention time has every earlier submit with this idempotency
	// key. Without a key, earlier submits cannot be recognized.
	logComplete := sub.Dedupe != "" && o.now.Sub(k.heldSince) >= SubmitRetention
	if sub.Repeat && !seen && !logComplete {
		o.count(CountRepeats)
		o.reject(sub, model.OutcomeLost, "repeat of a submit that a previous owner may have run")
		return false
	}
	k.submits.record(key, id, o.now)
	return true
}
