// Package strictjson strictly decodes JSON with comments and trailing commas. Unknown fields,
// duplicate names, nulls and values of the wrong type are errors that name the file, line and
// field.
package strictjson

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/tailscale/hujson"
)

// Error describes an invalid document.
type Error struct {
	File   string
	Line   int    // line number from 1; 0 if unknown
	Field  string // path such as "routes[0].timeout"; "" for the whole document
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, ": field %q", e.Field)
	}
	b.WriteString(": ")
	b.WriteString(e.Reason)
	return b.String()
}

// Document is a decoded document. It finds the lines of its fields for later errors.
type Document struct {
	file string
	text []byte // standard JSON with the same byte offsets as the input
}

// Decode parses text into v. file is only used in errors, which are of type *Error.
func Decode(file string, text []byte, v any) (*Document, error) {
	if line := invalidUTF8(text); line > 0 {
		return nil, &Error{File: file, Line: line, Reason: "text is not UTF-8"}
	}
	if line, reason := precheck(text); line > 0 {
		return nil, &Error{File: file, Line: line, Reason: reason}
	}
	std, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, &Error{File: file, Line: lineInMessage(err), Reason: withoutPosition(err)}
	}
	d := &Document{file: file, text: std}
	if err := d.rejectNull(); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(std, v, json.RejectUnknownMembers(true)); err != nil {
		return nil, d.toError(err)
	}
	return d, nil
}

// rejectNull returns an error if the document contains null, which would otherwise silently select
// the default of a field.
func (d *Document) rejectNull() error {
	dec := jsontext.NewDecoder(bytes.NewReader(d.text))
	for {
		tok, err := dec.ReadToken()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return d.toError(err)
		}
		if tok.Kind() == 'n' {
			return d.faultAt(dec.InputOffset()-1, "null is not a value; leave the field out", dec.StackPointer())
		}
	}
}

func (d *Document) faultAt(offset int64, reason string, p jsontext.Pointer) error {
	return &Error{File: d.file, Line: d.lineAt(offset), Field: fieldPath(p), Reason: reason}
}

// invalidUTF8 returns the number of the first line that is not valid UTF-8, or 0. Comments are
// checked too, since the store keeps the whole text.
func invalidUTF8(text []byte) int {
	line := 0
	for part := range bytes.Lines(text) {
		line++
		if !utf8.Valid(part) {
			return line
		}
	}
	return 0
}

// withoutPosition removes a prefix such as "hujson: line 3, column 5: " from an error message,
// since Error prints the line itself.
func withoutPosition(err error) string {
	_, reason, ok := strings.Cut(err.Error(), ": line ")
	if !ok {
		return err.Error()
	}
	_, reason, ok = strings.Cut(reason, ": ")
	if !ok {
		return err.Error()
	}
	return reason
}

// maxDepth bounds the nesting of a document. The hujson parser recurses at each level: half a
// megabyte of opening brackets would exceed the 1 GB limit of a Go stack and crash the process.
const maxDepth = 64

// precheck finds errors that have to be caught before parsing: a string that is not closed on its
// line, which the parsers would report at the next quote on a later line, and nesting deeper than
// maxDepth. It returns the line and the reason of the first error, or line 0.
func precheck(text []byte) (line int, reason string) {
	line = 1
	depth := 0
	var in byte // '"' in a string, '/' in a line comment, '*' in a block comment, else 0
	for i := 0; i < len(text); i++ {
		next := byte(0)
		if i+1 < len(text) {
			next = text[i+1]
		}
		c := text[i]
		switch {
		case c == '\n' && in == '"':
			return line, "string is not closed on its line"
		case c == '\n':
			line++
			if in == '/' {
				in = 0
			}
		case in == '"' && c == '\\' && next != '\n':
			i++
		case c == '"' && (in == 0 || in == '"'):
			in ^= '"'
		case in == 0 && c == '/' && (next == '/' || next == '*'):
			in = next
			i++
		case in == '*' && c == '*' && next == '/':
			in = 0
			i++
		case in == 0 && (c == '{' || c == '['):
			if depth++; depth > maxDepth {
				return line, fmt.Sprintf("nested deeper than %d levels", maxDepth)
			}
		case in == 0 && (c == '}' || c == ']'):
			depth--
		}
	}
	if in == '"' {
		return line, "string is not closed on its line"
	}
	return 0, ""
}

func lineInMessage(err error) int {
	var line int
	if i := strings.Index(err.Error(), "line "); i >= 0 {
		if _, scanErr := fmt.Sscanf(err.Error()[i:], "line %d", &line); scanErr != nil {
			return 0
		}
	}
	return line
}

func (d *Document) toError(err error) error {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		return &Error{
			File:   d.file,
			Line:   d.lineAt(semantic.ByteOffset),
			Field:  fieldPath(semantic.JSONPointer),
			Reason: semanticReason(semantic),
		}
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return &Error{
			File:   d.file,
			Line:   d.lineAt(syntactic.ByteOffset),
			Field:  fieldPath(syntactic.JSONPointer),
			Reason: syntacticReason(syntactic),
		}
	}
	return &Error{File: d.file, Reason: err.Error()}
}

func semanticReason(e *json.SemanticError) string {
	if errors.Is(e.Err, json.ErrUnknownName) {
		return "unknown field"
	}
	if e.GoType == reflect.TypeFor[Duration]() && e.JSONKind != '"' {
		return fmt.Sprintf("a JSON %s is not a duration with a unit, such as \"150ms\" or \"2s\"", kindName(e.JSONKind))
	}
	if e.Err != nil && len(e.JSONValue) > 0 {
		return fmt.Sprintf("%s cannot be used as %v: %v", e.JSONValue, e.GoType, e.Err)
	}
	if e.Err != nil {
		return e.Err.Error()
	}
	if e.GoType != nil {
		return fmt.Sprintf("a JSON %s cannot be used as %v", kindName(e.JSONKind), e.GoType)
	}
	return e.Error()
}

func kindName(k jsontext.Kind) string {
	switch k {
	case '{':
		return "object"
	case '[':
		return "array"
	case 't', 'f':
		return "boolean"
	}
	return k.String()
}

func syntacticReason(e *jsontext.SyntacticError) string {
	if errors.Is(e.Err, jsontext.ErrDuplicateName) {
		return "duplicate field name"
	}
	if e.Err != nil {
		return e.Err.Error()
	}
	return e.Error()
}

func (d *Document) lineAt(offset int64) int {
	if offset < 0 || offset > int64(len(d.text)) {
		return 0
	}
	// The offset may point to white space or punctuation before the value.
	for offset < int64(len(d.text)) && strings.IndexByte(" \t\r\n,:", d.text[offset]) >= 0 {
		offset++
	}
	return bytes.Count(d.text[:offset], []byte{'\n'}) + 1
}

// fieldPath converts a JSON pointer to a field path, for example /routes/0/timeout to
// routes[0].timeout.
func fieldPath(p jsontext.Pointer) string {
	var b strings.Builder
	for tok := range p.Tokens() {
		if tok != "" && strings.Trim(tok, "0123456789") == "" {
			b.WriteString("[" + tok + "]")
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(tok)
	}
	return b.String()
}

// Fault returns an *Error for the field at path, for example
// Fault("must be positive", "routes", 0, "timeout").
func (d *Document) Fault(reason string, path ...any) error {
	var p jsontext.Pointer
	for _, part := range path {
		p = p.AppendToken(fmt.Sprint(part))
	}
	return &Error{File: d.file, Line: d.lineOf(p), Field: fieldPath(p), Reason: reason}
}

// lineOf returns the line of the value at p, or of its nearest parent that exists.
func (d *Document) lineOf(p jsontext.Pointer) int {
	dec := jsontext.NewDecoder(bytes.NewReader(d.text))
	best, bestLen := 0, -1
	for {
		if _, err := dec.ReadToken(); err != nil {
			return best
		}
		at := dec.StackPointer()
		if at == p {
			return d.lineAt(dec.InputOffset() - 1)
		}
		if p.Contains(at) || at.Contains(p) {
			if n := len(at); n > bestLen && at.Contains(p) {
				best, bestLen = d.lineAt(dec.InputOffset()-1), n
			}
		}
	}
}

// Duration is a time.Duration that is encoded as a string with its unit, for example "150ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	// ParseDuration also accepts "0" without a unit.
	if err != nil || !strings.HasSuffix(string(text), "s") && !strings.HasSuffix(string(text), "m") && !strings.HasSuffix(string(text), "h") {
		return fmt.Errorf("%q is not a duration with a unit, such as \"150ms\" or \"2s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }
