package gooseberrylock

import (
	"os"
	"time"

	"github.com/phuslu/log"

	"github.com/gooseberrylock/gooseberrylock/core/effect"
	"github.com/gooseberrylock/gooseberrylock/internal/ingress"
	"github.com/gooseberrylock/gooseberrylock/internal/loglimit"
	"github.com/gooseberrylock/gooseberrylock/settings"
)

const (
	// logRate and logBurst limit the log lines with the same message, so that a fault that occurs
	// thousands of times per second does not fill the log.
	logRate  = 5 // lines per second
	logBurst = 20
)

// logger writes log lines with the field "vm" and limits the rate of lines with the same message.
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

// logEffect writes a log line that the reducer returned as an effect.
func (l *logger) logEffect(e effect.Log) {
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

// logRefusal writes a line about a caller or operator that was refused because of a limit.
func (l *logger) logRefusal(name string, r ingress.Refusal) {
	const message = "connection or request refused"
	ok, omitted := l.limiter.Allow(message)
	if !ok {
		return
	}
	l.Info().Str("step", "serve "+name).Str("cause", r.Cause.String()).Str("peer", r.Remote).Int("omitted", omitted).Msg(message)
}
