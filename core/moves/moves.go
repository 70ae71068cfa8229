// Package moves shifts traffic between versions of a customer's routes in stages,
// tests the new version against the old one, and finishes or takes back each move.
package moves

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Objects is the part of the configuration cache that moves need.
type Objects interface {
	Get(key model.ObjectKey) (model.Object, bool)
	All(kind model.ObjectKind) []model.Object
	Pending(key model.ObjectKey) bool
	Write(command uint64, obj model.Object, ifVersion uint64, now model.Time, out *effect.List)
}

// Input is what a tick needs from the other modules.
type Input struct {
	Wall   time.Time
	Paused bool
	Live   []model.VM // sorted
}

// Controller is the state of all moves on one VM.
type Controller struct{ self model.VM }

// New returns a controller without evidence.
func New(self model.VM, boot model.Boot, objects Objects) *Controller {
	return &Controller{self: self}
}

// Outcomes adds counts of a traffic worker of this VM.
func (c *Controller) Outcomes(ev event.MoveOutcomes, now model.Time, out *effect.List) {}

// Heartbeat takes in the evidence of a peer.
func (c *Controller) Heartbeat(hb *event.Heartbeat, now model.Time, out *effect.List) {}

// Fill sets the fields of a heartbeat that moves own.
func (c *Controller) Fill(hb *event.Heartbeat) {}

// Tick advances, finishes or takes back moves that this VM is in charge of. It reports
// whether Shares changed.
func (c *Controller) Tick(in Input, now model.Time, out *effect.List) bool { return false }

// Shares returns the split of every route that a running move covers.
func (c *Controller) Shares() map[model.Route]model.VersionShare { return nil }

// Start carries out an operator's StartMove.
func (c *Controller) Start(id uint64, by string, cmd event.StartMove, in Input, now model.Time, out *effect.List) {
}

// TakeBack carries out an operator's TakeBackMove.
func (c *Controller) TakeBack(id uint64, by string, cmd event.TakeBackMove, in Input, now model.Time, out *effect.List) {
}

// Report describes one move with the evidence seen by this VM.
type Report struct {
	Move     model.Move
	Share    float64 // in force on this VM, 0 to 1
	Withheld bool
	Routes   []model.MoveEvidence // summed over all VMs, sorted by route
}

// Reports returns all moves sorted by name.
func (c *Controller) Reports() []Report { return nil }
