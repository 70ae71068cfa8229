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

// State returns the automation state in force; an end time that has passed counts as resumed.
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

// Command carries out an operator's SetPause. Only a pause may act without the store; a
// resume waits for the store's word.
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

// validate returns what is wrong with the command, or "".
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
