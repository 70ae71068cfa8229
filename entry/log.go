package entry

import (
	"io"
	"time"

	"github.com/phuslu/log"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/core/dispatch"
	"github.com/gooseberrylock/gooseberrylock/internal/loglimit"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	logRate  = 20 // lines a second with the same message
	logBurst = 100
	// logQueue bounds the lines that wait for a slow reader; further lines are discarded.
	logQueue = 4096
)

// Log writes one JSON object a line. It never blocks: lines above the rate, and lines for
// which a slow reader leaves no room, are omitted.
type Log struct {
	*log.Logger
	limiter *loglimit.Limiter
	writer  *log.AsyncWriter
}

// NewLog returns a log to w.
func NewLog(w io.Writer, vm model.VM) *Log {
	async := &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}}
	return &Log{
		Logger: &log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: time.RFC3339Nano,
			Writer:     async,
			Context:    log.NewContext(nil).Str("vm", string(vm)).Value(),
		},
		limiter: loglimit.New(logRate, logBurst),
		writer:  async,
	}
}

// Close writes what is waiting.
func (l *Log) Close() error { return l.writer.Close() }

// Write takes the lines of the standard library's logger.
func (l *Log) Write(p []byte) (int, error) {
	l.line(log.WarnLevel, "library", func(e *log.Entry) { e.Str("text", string(p)) })
	return len(p), nil
}

// line writes a line unless there are too many with its message.
func (l *Log) line(level log.Level, message string, fill func(*log.Entry)) {
	ok, omitted := l.limiter.Allow(message)
	if !ok {
		return
	}
	e := l.WithLevel(level)
	if e == nil {
		return
	}
	if omitted > 0 {
		e.Int("omitted", omitted)
	}
	fill(e)
	e.Msg(message)
}

var dispatchLevels = map[dispatch.Level]log.Level{
	dispatch.Debug: log.DebugLevel,
	dispatch.Info:  log.InfoLevel,
	dispatch.Warn:  log.WarnLevel,
}

func (l *Log) dispatch(n dispatch.Note) {
	if dispatchLevels[n.Level] < l.Level {
		return
	}
	l.line(dispatchLevels[n.Level], n.Message, func(e *log.Entry) {
		e.Str("request", n.Query)
		for _, f := range n.Fields {
			field(e, f.Key, f.Value)
		}
	})
}

func (l *Log) directory(n directory.Note) {
	level := log.InfoLevel
	if n.Level == directory.Warn {
		level = log.WarnLevel
	}
	l.line(level, n.Message, func(e *log.Entry) {
		for _, f := range n.Fields {
			field(e, f.Key, f.Value)
		}
	})
}

func field(e *log.Entry, key string, value any) {
	switch v := value.(type) {
	case time.Duration:
		e.Float64(key+"_ms", float64(v)/float64(time.Millisecond))
	case model.Time:
		e.Float64(key+"_ms", float64(v)/float64(time.Millisecond))
	default:
		e.Any(key, v)
	}
}
