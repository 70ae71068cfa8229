// Package automation decides whether automatic actions are paused.
package automation

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// State returns the automation state in force; an end time that has passed counts as resumed.
func State(c *config.Cache, wall time.Time) model.AutomationState {
	return model.AutomationState{}
}

// Command carries out an operator's SetPause.
func Command(c *config.Cache, id uint64, by string, cmd event.SetPause, wall time.Time, now model.Time, out *effect.List) {
}
