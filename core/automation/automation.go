// Package automation decides whether automatic actions are paused.
package automation

import (
	"fmt"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Key names the object that holds the automation state.
func Key() model.ObjectKey {
	return model.ObjectKey{Kind: model.ObjectAutomation, Name: model.AutomationName}
}

// State returns the automation state in force. A pause whose end time has passed is returned as not
// paused.
func State(c *config.Cache, wall time.Time) model.AutomationState {
	o, ok := c.Get(Key())
	if !ok {
		return model.AutomationState{}
	}
	state := *o.Automation
	if !state.Until.IsZero() && !state.Until.After(wall) {
		state.Paused = false
	}
	return state
}

// Command carries out an operator's SetPause. A pause takes effect even if the store cannot be
// reached. A resume takes effect only once the store has accepted the write.
func Command(c *config.Cache, id uint64, by string, cmd event.SetPause, wall time.Time, now model.Time, out *effect.List) {
	if problem := validate(cmd, wall); problem != "" {
		out.Add(effect.ReplyOperator{Command: id, Result: effect.CommandResult{
			Code:    effect.CommandInvalid,
			Message: problem,
		}})
		return
	}
	current, _ := c.Get(Key())
	obj := model.Object{
		Key: Key(),
		Automation: &model.AutomationState{
			Paused: cmd.Paused,
			Until:  cmd.Until,
			Reason: cmd.Reason,
			By:     by,
			At:     wall,
		},
	}
	if cmd.Paused {
		c.WriteRestriction(id, obj, current.Version, now, out)
		return
	}
	c.Write(id, obj, current.Version, now, out)
}

// validate returns the reason why the command is invalid, or "".
func validate(cmd event.SetPause, wall time.Time) string {
	if cmd.Until.IsZero() {
		return ""
	}
	if !cmd.Paused {
		return "a resume takes no end time"
	}
	if !cmd.Until.After(wall) {
		return fmt.Sprintf("the end time %s has passed", cmd.Until.UTC().Format(time.RFC3339))
	}
	return ""
}
