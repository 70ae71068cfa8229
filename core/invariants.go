package core

import (
	"fmt"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// Check returns an error that describes the first violated invariant of a state at now, or nil.
func Check(s *State, now model.Time) error {
	if s.Control != nil {
		if err := s.Control.check(now); err != nil {
			return fmt.Errorf("control: %w", err)
		}
	}
	if s.Traffic != nil {
		if err := s.Traffic.check(now); err != nil {
			return fmt.Errorf("traffic: %w", err)
		}
	}
	return nil
}

// check returns nil, since no invariants are defined for the control state.
func (c *Control) check(now model.Time) error { return nil }

func (t *Traffic) check(now model.Time) error {
	if err := t.owner.Check(); err != nil {
		return fmt.Errorf("admission: %w", err)
	}
	if err := t.queries.Check(); err != nil {
		return fmt.Errorf("query: %w", err)
	}
	return nil
}
