// Package loglimit limits the rate of log lines, so that a fault that repeats thousands of times
// per second does not flood the log.
package loglimit

import (
	"sync"

	"golang.org/x/time/rate"
)

// Limiter limits the rate of log lines separately for each message text. It is safe for concurrent
// use.
type Limiter struct {
	rate  rate.Limit
	burst int

	mu       sync.Mutex
	messages map[string]*messageState
}

type messageState struct {
	limiter *rate.Limiter
	omitted int
}

// New returns a limiter that allows linesPerSecond log lines for each message, with bursts of up to
// burst lines.
func New(linesPerSecond float64, burst int) *Limiter {
	return &Limiter{rate: rate.Limit(linesPerSecond), burst: burst, messages: make(map[string]*messageState)}
}

// Allow reports whether a log line with this message may be written now. If so, it also returns
// how many lines with the same message were omitted since the previous one.
func (l *Limiter) Allow(text string) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.messages[text]
	if !ok {
		m = &messageState{limiter: rate.NewLimiter(l.rate, l.burst)}
		l.messages[text] = m
	}
	if !m.limiter.Allow() {
		m.omitted++
		return false, 0
	}
	omitted := m.omitted
	m.omitted = 0
	return true, omitted
}
