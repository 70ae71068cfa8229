package automation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/automation"
	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

var wall = time.Date(2026, 5, 13, 6, 0, 0, 0, time.UTC)

// Guards against a pause that stays in force after its end time, or ends before it.
func TestState(t *testing.T) {
	tests := []struct {
		name   string
		until  time.Time
		paused bool
	}{
		{"no end", time.Time{}, true},
		{"before the end", wall.Add(time.Nanosecond), true},
		{"at the end", wall, false},
		{"after the end", wall.Add(-time.Second), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := config.New(config.Config{Self: "vm0"})
			is.True(!automation.State(c, wall).Paused)
			o := model.Object{
				Key:        automation.Key(),
				Version:    1,
				Automation: &model.AutomationState{Paused: true, Until: tt.until, Reason: "holiday"},
			}
			var out effect.List
			c.Received(event.ObjectsReceived{FromStore: true, Revision: 1, Objects: []model.Object{o}}, 0, &out)
			got := automation.State(c, wall)
			is.Equal(got.Paused, tt.paused)
			is.Equal(got.Reason, "holiday")
		})
	}
}
