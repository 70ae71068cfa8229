package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"slices"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/internal/nonzero"
)

// typesWithMethod lists the types of a file that have a method with the given name.
func typesWithMethod(t *testing.T, file, method string) []string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, d := range f.Decls {
		if fn, ok := d.(*ast.FuncDecl); ok && fn.Recv != nil && fn.Name.Name == method {
			names = append(names, fn.Recv.List[0].Type.(*ast.Ident).Name)
		}
	}
	slices.Sort(names)
	return names
}

func names(types map[string]reflect.Type) []string {
	var list []string
	for name := range types {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// TestRegistryComplete guards against an event or command that can be recorded but not
// replayed.
func TestRegistryComplete(t *testing.T) {
	is := is.New(t)
	is.Equal(names(eventTypes), typesWithMethod(t, "event.go", "event"))
	is.Equal(names(commandTypes), typesWithMethod(t, "event.go", "command"))
}

// TestRoundTrip guards against a field of an event that is lost when it is recorded and decoded.
func TestRoundTrip(t *testing.T) {
	for name, typ := range eventTypes {
		for _, command := range names(commandTypes) {
			if name != "OperatorCommand" && command != "SetZone" {
				continue // only this event has a body
			}
			t.Run(name+" "+command, func(t *testing.T) {
				is := is.New(t)
				v := reflect.New(typ)
				nonzero.Fill(v.Interface(), func(reflect.Type) any { return reflect.Zero(commandTypes[command]).Interface() })
				ev := v.Elem().Interface().(Event)
				is.Equal(Name(ev), name)
				data, err := json.Marshal(ev, JSONOptions)
				is.NoErr(err)
				got, err := Decode(name, data)
				is.NoErr(err)
				is.Equal(got, ev)

				empty := reflect.New(typ).Elem().Interface().(Event)
				if name == "OperatorCommand" {
					_, err := json.Marshal(empty, JSONOptions)
					is.True(err != nil) // no body
					return
				}
				data, err = json.Marshal(empty, JSONOptions)
				is.NoErr(err)
				_, err = Decode(name, data)
				is.NoErr(err)
			})
		}
	}
}

// TestDecodeFaults guards against a malformed event that is accepted or makes the replay panic.
func TestDecodeFaults(t *testing.T) {
	for _, tc := range []struct{ name, data string }{
		{"Unknown", `{}`},
		{"Tick", `{"Wall": 3}`},
		{"Tick", ``},
		{"OperatorCommand", `{"Command": 1, "Type": "Unknown", "Body": {}}`},
		{"OperatorCommand", `{"Command": 1, "Type": "SetZone"}`},
	} {
		is := is.New(t)
		_, err := Decode(tc.name, []byte(tc.data))
		is.True(err != nil)
	}
}
