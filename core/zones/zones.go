// Package zones decides which availability zones are out of service.
package zones

import (
	"strings"
	"time"

	"github.com/gooseberrylock/gooseberrylock/core/config"
	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/model"
)

// Key names the object that holds the state of a zone.
func Key(zone model.AvailabilityZone) model.ObjectKey {
	return model.ObjectKey{Kind: model.ObjectZone, Name: string(zone)}
}

// Out returns the zones that operators have taken out.
func Out(c *config.Cache) map[model.AvailabilityZone]bool {
	out := make(map[model.AvailabilityZone]bool)
	for _, o := range c.All(model.ObjectZone) {
		if o.Zone.Out {
			out[model.AvailabilityZone(o.Key.Name)] = true
		}
	}
	return out
}

// Command carries out an operator's SetZone. Taking a zone out takes effect even if the store cannot
// be reached. Bringing a zone back adds load to its servers, so it takes effect only once the store
// has accepted the write.
func Command(c *config.Cache, id uint64, by string, cmd event.SetZone, wall time.Time, now model.Time, out *effect.List) {
	if strings.TrimSpace(string(cmd.Zone)) == "" {
		out.Add(effect.ReplyOperator{Command: id, Result: effect.CommandResult{
			Code:    effect.CommandInvalid,
			Message: "the availability zone is empty",
		}})
		return
	}
	key := Key(cmd.Zone)
	current, _ := c.Get(key)
	obj := model.Object{
		Key: key,
		Zone: &model.ZoneState{
			Zone:   cmd.Zone,
			Out:    cmd.Out,
			Reason: cmd.Reason,
			By:     by,
			At:     wall,
		},
	}
	if cmd.Out {
		c.WriteRestriction(id, obj, current.Version, now, out)
		return
	}
	c.Write(id, obj, current.Version, now, out)
}
