// Package logline has the lines that reducers write to the log, as data.
package logline

// Level is the level of a line.
type Level uint8

// The levels of a line.
const (
	Debug Level = iota
	Info
	Warn
)

// Field is a key with a value. Durations are written in milliseconds.
type Field struct {
	Key   string
	Value any
}

// Line is one line of the log.
type Line struct {
	Level   Level
	Message string
	Request string // the caller's ID of the request that the line is about, or ""
	Fields  []Field
}

// F returns a field.
func F(key string, value any) Field { return Field{Key: key, Value: value} }
