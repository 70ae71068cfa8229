package entry

import (
	"bytes"
	"io"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/gooseberrylock/gooseberrylock/core/logline"
	"github.com/gooseberrylock/gooseberrylock/internal/loglimit"
	"github.com/gooseberrylock/gooseberrylock/model"
)

const (
	// logRate and logBurst limit the lines with the same message: logRate lines per second on
	// average, and logBurst lines at once.
	logRate  = 20
	logBurst = 100
	// logQueue bounds the lines that wait to be written; lines beyond it are discarded.
	logQueue = 4096
)

// Discarded returns the number of lines that could not be written.
func (l *Log) Discarded() int64 { return l.lines.discarded.Load() }

// Log writes one JSON object per line. It never blocks: lines are discarded while the queue to the
// output is full. Lines of the reducers and of the standard library's loggers are also omitted
// above the rate limit of their message.
type Log struct {
	*log.Logger
	limiter *loglimit.Limiter
	lines   *lineWriter
}

// lineWriter writes lines to a writer that may be slow, and discards lines while its queue is full.
// It replaces log.AsyncWriter, which reads a line's buffer after it has released the buffer.
type lineWriter struct {
	queue     chan []byte
	pending   atomic.Int64 // lines in the queue or being written
	discarded atomic.Int64
}

func newLineWriter(w io.Writer) *lineWriter {
	l := &lineWriter{queue: make(chan []byte, logQueue)}
	go func() {
		for line := range l.queue {
			if _, err := w.Write(line); err != nil {
				l.discarded.Add(1)
			}
			l.pending.Add(-1)
		}
	}()
	return l
}

// Write implements io.Writer. It never blocks.
func (l *lineWriter) Write(p []byte) (int, error) {
	l.pending.Add(1)
	select {
	case l.queue <- bytes.Clone(p):
	default:
		l.pending.Add(-1)
		l.discarded.Add(1)
	}
	return len(p), nil
}

// NewLog returns a log that writes to w and adds the field vm to every line.
func NewLog(w io.Writer, vm model.VM) *Log {
	lines := newLineWriter(w)
	return &Log{
		Logger: &log.Logger{
			Level:      log.InfoLevel,
			TimeFormat: time.RFC3339Nano,
			Writer:     &log.IOWriter{Writer: lines},
			Context:    log.NewContext(nil).Str("vm", string(vm)).Value(),
		},
		limiter: loglimit.New(logRate, logBurst),
		lines:   lines,
	}
}

const (
	// flushTimeout bounds how long a slow output can delay the end of the process.
	flushTimeout = 200 * time.Millisecond
	flushPoll    = 5 * time.Millisecond
)

// Flush waits until all queued lines are written, for flushTimeout at most.
func (l *Log) Flush() {
	end := time.Now().Add(flushTimeout)
	for l.lines.pending.Load() > 0 && time.Now().Before(end) {
		time.Sleep(flushPoll)
	}
}

// Write implements io.Writer for loggers of the standard library: it logs p as one line.
func (l *Log) Write(p []byte) (int, error) {
	l.writeLimited(log.WarnLevel, "library", func(e *log.Entry) { e.Str("text", string(p)) })
	return len(p), nil
}

// writeLimited writes a line unless its message exceeds the rate limit.
func (l *Log) writeLimited(level log.Level, message string, fill func(*log.Entry)) {
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

var levels = map[logline.Level]log.Level{
	logline.Debug: log.DebugLevel,
	logline.Info:  log.InfoLevel,
	logline.Warn:  log.WarnLevel,
}

// WriteLine writes a log line unless its message exceeds the rate limit.
func (l *Log) WriteLine(n logline.Line) {
	level := levels[n.Level]
	if level < l.Level {
		return
	}
	l.writeLimited(level, n.Message, func(e *log.Entry) {
		if n.Request != "" {
			e.Str("request", n.Request)
		}
		for _, f := range n.Fields {
			addField(e, f.Key, f.Value)
		}
	})
}

func addField(e *log.Entry, key string, value any) {
	switch v := value.(type) {
	case time.Duration:
		e.Float64(key+"_ms", float64(v)/float64(time.Millisecond))
	case model.Time:
		e.Float64(key+"_ms", float64(v)/float64(time.Millisecond))
	default:
		e.Any(key, v)
	}
}
