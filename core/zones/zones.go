// Package zones decides which availability zones are out of service.
package zones

import (
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Out returns the zones that operators have taken out.
func Out(c *config.Cache) map[model.AvailabilityZone]bool {
	return nil
}

// Command carries out an operator's SetZone.
func Command(c *config.Cache, id uint64, by string, cmd event.SetZone, wall time.Time, now model.Time, out *effect.List) {
}
