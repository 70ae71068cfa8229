package config

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// describeConflict describes the object version that the write conflicts with: its number,
// author and time, and the parts that differ from the version that the write was based on,
// or from the written object if that version is not cached.
func describeConflict(w *write, current *model.Object) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s is at version %d, not %d", current.Key, current.Version, w.ifVersion)
	if by, at := author(current); by != "" {
		fmt.Fprintf(&b, "; written by %s at %s", by, at.UTC().Format(time.RFC3339))
	}
	if current.Deleted {
		b.WriteString("; it was deleted")
		return b.String()
	}
	if w.replaced != nil {
		writeParts(&b, "changed since", differences(w.replaced, current))
		return b.String()
	}
	writeParts(&b, "differs from this command in", differences(&w.object, current))
	return b.String()
}

func writeParts(b *strings.Builder, label string, parts []string) {
	if len(parts) == 0 {
		b.WriteString("; the content is the same")
		return
	}
	fmt.Fprintf(b, "; %s: %s", label, strings.Join(parts, ", "))
}

// author returns who wrote the object and when, or zero values for kinds that do not record it.
func author(o *model.Object) (string, time.Time) {
	switch {
	case o.Zone != nil:
		return o.Zone.By, o.Zone.At
	case o.Automation != nil:
		return o.Automation.By, o.Automation.At
	}
	return "", time.Time{}
}

// differences returns the names of the parts of the content in which a and b differ: the
// routes of templates, and the fields of other objects.
func differences(a, b *model.Object) []string {
	if a.Deleted != b.Deleted {
		return []string{"existence"}
	}
	switch {
	case a.Template != nil && b.Template != nil:
		return templateDifferences(a.Template, b.Template)
	case a.Zone != nil && b.Zone != nil:
		return fieldDifferences(*a.Zone, *b.Zone)
	case a.Automation != nil && b.Automation != nil:
		return fieldDifferences(*a.Automation, *b.Automation)
	case a.Move != nil && b.Move != nil:
		return fieldDifferences(*a.Move, *b.Move)
	case a.Roster != nil && b.Roster != nil:
		return fieldDifferences(*a.Roster, *b.Roster)
	}
	return nil
}

func templateDifferences(a, b *model.Template) []string {
	var parts []string
	if !reflect.DeepEqual(a.AllowedZones, b.AllowedZones) {
		parts = append(parts, "AllowedZones")
	}
	for i := range a.Routes {
		ours := &a.Routes[i]
		theirs := routeOf(b, ours.ID)
		if theirs == nil || !reflect.DeepEqual(ours, theirs) {
			parts = append(parts, "route "+string(ours.ID))
		}
	}
	for i := range b.Routes {
		if id := b.Routes[i].ID; routeOf(a, id) == nil {
			parts = append(parts, "route "+string(id))
		}
	}
	if len(parts) == 0 && a.Text != b.Text {
		parts = append(parts, "Text")
	}
	return parts
}

func routeOf(t *model.Template, id model.RouteID) *model.RouteConfig {
	for i := range t.Routes {
		if t.Routes[i].ID == id {
			return &t.Routes[i]
		}
	}
	return nil
}

// fieldDifferences returns the names of the fields in which two structs differ. Times are
// compared as instants, since the store does not keep their location.
func fieldDifferences[T any](a, b T) []string {
	var parts []string
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		x, y := va.Field(i).Interface(), vb.Field(i).Interface()
		if !sameValue(x, y) {
			parts = append(parts, va.Type().Field(i).Name)
		}
	}
	return parts
}

func sameValue(x, y any) bool {
	if t, ok := x.(time.Time); ok {
		u, _ := y.(time.Time)
		return t.Equal(u)
	}
	return reflect.DeepEqual(x, y)
}
