// Package loglimit bounds the lines of a log, so that a fault that repeats thousands of times
// a second does not fill it.
package loglimit

import (
	"sync"

	"golang.org/x/time/rate"
)

// Limiter bounds the rate of lines with the same message.
type Limiter struct {
	rate  rate.Limit
	burst int

	mu       sync.Mutex
	messages map[string]*message
}

type message struct {
	limiter *rate.Limiter
	omitted int
}

// New returns a limiter of linesPerSecond for each message, with bursts.
func New(linesPerSecond float64, burst int) *Limiter {
	return &Limiter{rate: rate.Limit(linesPerSecond), burst: burst, messages: make(map[string]*message)}
}

// Allow reports whether a line may be written, and how many with the same message were
// omitted since the last one.
func (l *Limiter) Allow(text string) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.messages[text]
	if !ok {
		m = &message{limiter: rate.NewLimiter(l.rate, l.burst)}
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
