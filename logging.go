package gooseberrylock

import (
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/settings"
)

const (
	// logRate and logBurst bound the lines with one message, so that a fault that repeats
	// thousands of times a second does not fill the log.
	logRate  = 5 // lines a second
	logBurst = 20
)

// logger writes one event a line and limits the rate of each message.
type logger struct {
	*log.Logger
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

func newLogger(base *log.Logger, s settings.Settings) *logger {
	if base == nil {
		base = &log.Logger{
			Level:      log.ParseLevel(s.Log.Level),
			TimeFormat: time.RFC3339Nano,
			Writer:     &log.IOWriter{Writer: os.Stderr},
		}
	}
	l := *base
	l.Context = log.NewContext(nil).Str("vm", string(s.VM)).Value()
	return &logger{Logger: &l, limiters: make(map[string]*rate.Limiter)}
}

func (l *logger) allow(message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim, ok := l.limiters[message]
	if !ok {
		lim = rate.NewLimiter(logRate, logBurst)
		l.limiters[message] = lim
	}
	return lim.Allow()
}

var logLevels = map[effect.Level]log.Level{
	effect.Debug: log.DebugLevel,
	effect.Info:  log.InfoLevel,
	effect.Warn:  log.WarnLevel,
	effect.Error: log.ErrorLevel,
}

// effect writes a log line of the reducer.
func (l *logger) effect(e effect.Log) {
	if !l.allow(e.Message) {
		return
	}
	entry := l.WithLevel(logLevels[e.Level]).Str("step", e.Step)
	if e.Peer != "" {
		entry = entry.Str("peer", e.Peer)
	}
	for _, f := range e.Fields {
		entry = entry.Str(f.Key, f.Value)
	}
	entry.Msg(e.Message)
}
