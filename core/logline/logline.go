// Package logline represents the log lines of reducers as data. The runtime writes them.
package logline

// Level is the severity of a log line.
type Level uint8

// Levels of log lines.
const (
	Debug Level = iota
	Info
	Warn
)

// Field is one key and value of a log line. Durations are written in milliseconds.
type Field struct {
	Key   string
	Value any
}

// Line is one log line.
type Line struct {
	Level   Level
	Message string
	Request string // ID that the caller gave to the request concerned, or ""
	Fields  []Field
}

// F returns the field with a key and a value.
func F(key string, value any) Field { return Field{Key: key, Value: value} }
