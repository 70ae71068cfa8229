// Package clock measures the time that a process has existed, including the time for which its machine
// was suspended. The monotonic clock of package time stands still meanwhile, so that everything that
// expires would expire late.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the least difference between the two clocks that counts as a suspension. They are
// not read at the same instant.
const minSuspension = 50 * time.Millisecond

// Clock returns the time since its start. Its methods may be called concurrently.
type Clock struct {
	awake     func() time.Duration // time since the start, without suspensions
	total     func() time.Duration // time since an arbitrary point, with suspensions
	totalAt   time.Duration        // total at the start
	suspended atomic.Int64         // nanoseconds of suspension noticed so far
}

// New returns a clock that starts now.
func New() *Clock {
	start := time.Now()
	return newClock(func() time.Duration { return time.Since(start) }, sinceBoot)
}

func newClock(awake, total func() time.Duration) *Clock {
	return &Clock{awake: awake, total: total, totalAt: total()}
}

// sinceBoot returns the time since the machine started, or 0 if it cannot be read.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // suspensions are not noticed
	}
	return time.Duration(ts.Nano())
}

// Now returns the time since the start, including the suspensions that Sync has noticed.
func (c *Clock) Now() time.Duration {
	return c.awake() + time.Duration(c.suspended.Load())
}

// Sync notices suspensions and returns Now. It makes a system call.
func (c *Clock) Sync() time.Duration {
	suspended := int64(c.total() - c.totalAt - c.awake())
	old := c.suspended.Load()
	if suspended >= old+int64(minSuspension) {
		c.suspended.CompareAndSwap(old, suspended) // another goroutine may have noticed it first
	}
	return c.Now()
}
