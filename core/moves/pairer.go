package moves

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Outcome is the end of one query on a route with a running move.
type Outcome struct {
	Route   model.Route
	Move    string
	New     bool // sent to the new version
	Failed  bool
	Latency time.Duration
}

// Pairer pairs outcomes of the new and the old version on one traffic worker.
type Pairer struct{}

// NewPairer returns an empty pairer.
func NewPairer() *Pairer { return &Pairer{} }

// Record takes in one outcome.
func (p *Pairer) Record(o Outcome, now model.Time) {}

// Flush reports the counts since the last flush as effect.ReportOutcomes.
func (p *Pairer) Flush(now model.Time, out *effect.List) {}
