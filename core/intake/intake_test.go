package intake

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// recorder records what the table does to connections, by name.
type recorder struct{ refused, aborted string }

type namedCaller struct {
	name string
	rec  *recorder
}

func (c namedCaller) Refuse() { c.rec.refused += c.name }
func (c namedCaller) Abort()  { c.rec.aborted += c.name }

type fixture struct {
	is    *is.I
	table *Table
	rec   recorder
}

func newFixture(t *testing.T, cfg Config) *fixture {
	return &fixture{is: is.New(t), table: New(cfg)}
}

func at(seconds int) model.Time { return model.Time(time.Duration(seconds) * time.Second) }

func (f *fixture) open(name string, second int) *Conn {
	f.is.Helper()
	c, err := f.table.Open(at(second), namedCaller{name, &f.rec})
	f.is.NoErr(err)
	return c
}

// receive opens a connection that has received n bytes of a request.
func (f *fixture) receive(name string, second int, n int64) *Conn {
	f.is.Helper()
	c := f.open(name, second)
	f.is.NoErr(c.Enter(Receiving, at(second)))
	f.is.NoErr(c.Grow(n, at(second)))
	return c
}

// Guards against a VM whose connections are all taken by callers that do nothing, and against closing the
// connection of a caller whose request runs, or of one that was served, before those.
func TestNewConnectionReplacesAnUnusedOne(t *testing.T) {
	tests := []struct {
		name    string
		phases  []Phase // of connections "a", "b", ..., opened in this order
		aborted string
	}{
		{"longest waiting", []Phase{Waiting, Waiting, Waiting}, "a"},
		{"receiving for longest", []Phase{Idle, Receiving, Waiting}, "b"},
		{"slow reader", []Phase{Running, Idle, Answering}, "c"},
		{"idle for longest", []Phase{Running, Idle, Idle}, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, Config{MaxConns: 3, MaxBytes: 100})
			for i, p := range tt.phases {
				c := f.open(string(rune('a'+i)), i)
				f.is.NoErr(c.Enter(p, at(i)))
			}
			f.open("new", 10)
			f.is.Equal(f.rec.aborted, tt.aborted)
			f.is.Equal(f.table.Usage().Conns, 3)
		})
	}
}

// Guards against a connection that is accepted although all others run requests.
func TestNoConnectionIsReplacedWhileAllRun(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 1, MaxBytes: 100})
	c := f.open("a", 0)
	f.is.NoErr(c.Enter(Running, at(0)))
	_, err := f.table.Open(at(1), namedCaller{"b", &f.rec})
	f.is.Equal(err, ErrTooManyConns)
	c.Close()
	f.open("c", 2)
	f.is.Equal(f.rec.aborted, "")
}

// Guards against a caller that sends its request without a pause and is refused in place of those that have
// stopped in the middle of theirs.
func TestMemoryIsTakenFromThoseThatHoldItForLongest(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 10, MaxBytes: 1000})
	f.receive("small and old,", 0, 10)
	f.receive("large and old,", 1, 400)
	f.receive("large and younger,", 5, 400)
	ordinary := f.receive("ordinary,", 10, 190)
	f.is.Equal(f.rec.refused, "")
	f.is.NoErr(ordinary.Grow(100, at(10)))
	f.is.Equal(f.rec.refused, "large and old,")
	f.is.NoErr(ordinary.Grow(600, at(10)))
	f.is.Equal(f.rec.refused, "large and old,large and younger,")
	f.is.Equal(f.table.Usage().Bytes, int64(900))
	f.is.Equal(f.rec.aborted, "")
}

// Guards against a running request that is given up for its memory, and against a sum that exceeds the limit then.
func TestRunningRequestsKeepTheirMemory(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 10, MaxBytes: 1000})
	running := f.receive("running,", 0, 900)
	f.is.NoErr(running.Enter(Running, at(0)))
	late := f.open("late,", 1)
	f.is.NoErr(late.Enter(Receiving, at(1)))
	f.is.Equal(late.Grow(101, at(1)), ErrTooManyBytes)
	f.is.NoErr(late.Grow(100, at(1)))
	running.Close()
	f.is.NoErr(late.Grow(900, at(2)))
	f.is.Equal(f.rec.refused, "")
	f.is.Equal(f.table.Usage().Bytes, int64(1000))
}

// Guards against small requests that are refused while large ones, which run or are about to, use all memory.
func TestSmallRequestsAreNotShutOut(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 10, ConnBytes: 100, MaxBytes: 1000})
	running := f.receive("running,", 0, 1100)
	f.is.NoErr(running.Enter(Running, at(0)))
	for i := range 8 {
		f.receive("small,", 1+i, 100)
	}
	f.is.Equal(f.rec.refused, "")
	large := f.open("large,", 10)
	f.is.NoErr(large.Enter(Receiving, at(10)))
	f.is.Equal(large.Grow(101, at(10)), ErrTooManyBytes)
	f.is.NoErr(large.Grow(100, at(10)))
	f.is.Equal(f.rec.refused, "")
	f.is.Equal(f.table.Usage(), Usage{Conns: 10, Bytes: 2000, Shared: 1000})
}

// Guards against a request that has been refused and is sent to a server all the same.
func TestRefusedRequestDoesNotRun(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 10, MaxBytes: 1000})
	first := f.receive("first", 0, 900)
	f.receive("second", 5, 200)
	f.is.Equal(f.rec.refused, "first")
	f.is.Equal(first.Enter(Running, at(5)), ErrTooManyBytes)
	f.is.Equal(first.Grow(1, at(5)), ErrTooManyBytes)
	f.is.Equal(f.table.Usage().Bytes, int64(200))
	first.Close()
	f.is.Equal(f.table.Usage().Bytes, int64(200)) // its bytes are counted out once
}

// Guards against a large request in calm that is refused, and against an answer that is not delivered for lack of memory.
func TestLimitsThatOneCallerMayExceed(t *testing.T) {
	f := newFixture(t, Config{MaxConns: 10, MaxBytes: 1000})
	alone := f.receive("alone,", 0, 2000)
	f.is.NoErr(alone.Enter(Answering, at(1)))
	alone.Hold(5000, at(1))
	f.is.Equal(f.rec.refused, "")
	next := f.open("next,", 2)
	f.is.NoErr(next.Enter(Running, at(2)))
	next.Hold(500, at(2))
	f.is.Equal(f.rec.refused, "alone,")
	f.is.NoErr(next.Enter(Idle, at(3)))
	f.is.Equal(f.table.Usage().Bytes, int64(0))
}

func TestValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(Config{MaxConns: 1, MaxBytes: 1}.Validate())
	is.True(Config{MaxConns: 1}.Validate() != nil)
	is.True(Config{MaxBytes: 1}.Validate() != nil)
	is.True(Config{MaxConns: 1, MaxBytes: 1, ConnBytes: -1}.Validate() != nil)
}
