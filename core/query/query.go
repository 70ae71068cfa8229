// Package query is the entry side of the traffic role: it plans a request over shards, pins
// a version and a snapshot, gathers replies and answers the caller with true coverage.
package query

import (
	"math/rand/v2"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/core/moves"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Table holds the running queries of one traffic worker.
type Table struct{}

// New returns an empty table.
func New(rng *rand.Rand, pairer *moves.Pairer) *Table { return &Table{} }

// View replaces the view.
func (t *Table) View(v *model.View, now model.Time, out *effect.List) {}

// Request starts a query.
func (t *Table) Request(ev event.RequestReceived, now model.Time, out *effect.List) {}

// CallerGone ends a query whose caller has disconnected.
func (t *Table) CallerGone(ev event.CallerGone, now model.Time, out *effect.List) {}

// Replies takes in replies of an owner.
func (t *Table) Replies(ev event.SubRepliesReceived, now model.Time, out *effect.List) {}

// SendFailed takes back sub-requests that could not be delivered.
func (t *Table) SendFailed(ev event.SendFailed, now model.Time, out *effect.List) {}

// PeerLost ends the wait for replies of a peer whose connection broke.
func (t *Table) PeerLost(ev event.PeerLost, now model.Time, out *effect.List) {}

// Wake handles deadlines that have passed.
func (t *Table) Wake(now model.Time, out *effect.List) {}

// NextWake returns the earliest time at which Wake has work to do.
func (t *Table) NextWake() model.Time { return model.Never }

// Running returns the number of running queries.
func (t *Table) Running() int { return 0 }
