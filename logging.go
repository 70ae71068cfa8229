package gooseberrylock

import (
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/internal/loglimit"
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
	limiter *loglimit.Limiter
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
	return &logger{Logger: &l, limiter: loglimit.New(logRate, logBurst)}
}

var logLevels = map[effect.Level]log.Level{
	effect.Debug: log.DebugLevel,
	effect.Info:  log.InfoLevel,
	effect.Warn:  log.WarnLevel,
	effect.Error: log.ErrorLevel,
}

// effect writes a log line of the reducer.
func (l *logger) effect(e effect.Log) {
	ok, omitted := l.limiter.Allow(e.Message)
	if !ok {
		return
	}
	entry := l.WithLevel(logLevels[e.Level]).Str("step", e.Step)
	if omitted > 0 {
		entry = entry.Int("omitted", omitted)
	}
	if e.Peer != "" {
		entry = entry.Str("peer", e.Peer)
	}
	for _, f := range e.Fields {
		entry = entry.Str(f.Key, f.Value)
	}
	entry.Msg(e.Message)
}
