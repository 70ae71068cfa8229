package effect

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/core/event"
	"github.com/gooseberrylock/gooseberrylock/internal/nonzero"
)

var allEffects = []Effect{
	SendHeartbeat{}, WatchStore{}, StopWatch{}, PullObjects{}, WriteObject{}, ReadObject{}, ReplyOperator{},
	PublishView{}, DrainKey{}, SendRelease{}, Left{}, SendSubRequests{}, SendSubReplies{}, SendCancels{},
	StartAttempt{}, CancelAttempt{}, ReplyCaller{}, ReportOutcomes{}, ReportDrained{}, WakeAt{}, Log{}, Count{},
}

// TestRoundTrip guards against a field of an effect that is missing in the JSON, so that a replay
// does not compare it.
func TestRoundTrip(t *testing.T) {
	listed := make(map[string]bool)
	for _, e := range allEffects {
		typ := reflect.TypeOf(e)
		listed[typ.Name()] = true
		t.Run(typ.Name(), func(t *testing.T) {
			is := is.New(t)
			want := reflect.New(typ)
			nonzero.Fill(want.Interface(), nil)
			data, err := json.Marshal(want.Elem().Interface(), event.JSONOptions)
			is.NoErr(err)
			got := reflect.New(typ)
			is.NoErr(json.Unmarshal(data, got.Interface(), event.JSONOptions))
			is.Equal(got.Elem().Interface(), want.Elem().Interface())
		})
	}
	f, err := parser.ParseFile(token.NewFileSet(), "effect.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Decls {
		fn, ok := d.(*ast.FuncDecl)
		if ok && fn.Name.Name == "effect" && !listed[fn.Recv.List[0].Type.(*ast.Ident).Name] {
			t.Errorf("effect %s is not tested", fn.Recv.List[0].Type.(*ast.Ident).Name)
		}
	}
}
