package relay

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

// encode translates a message for followers.
func encode(e directory.SendUpdate) (*relaypb.Update, error) {
	m := &relaypb.Update{AgesMicros: encodeAges(e.Ages), Orders: encodeOrders(e.Rollouts)}
	if e.Update == nil {
		return m, nil
	}
	m.Kind = uint32(e.Update.Kind)
	m.Full = e.Update.Full
	m.Since = e.Update.Since
	m.Revision = e.Update.Revision
	var err error
	m.Objects, m.Packed, err = pack(e.Update.Changes)
	return m, err
}

// packFrom is the size in bytes from which objects are packed.
const packFrom = 2048

// packers keeps gzip writers, which allocate about 1 MB each.
var packers = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // only an invalid level can cause this
	}
	return w
}}

// encodeAges writes ages from 1 on, since 0 stands for an unknown one.
func encodeAges(ages directory.Ages) []uint64 {
	micros := make([]uint64, len(ages))
	for k, age := range ages {
		if age != directory.UnknownAge {
			micros[k] = uint64(age.Microseconds() + 1)
		}
	}
	return micros
}

func decodeAges(micros []uint64) directory.Ages {
	var ages directory.Ages
	for k := range ages {
		ages[k] = directory.UnknownAge
		if k < len(micros) && micros[k] > 0 {
			ages[k] = time.Duration(micros[k]-1) * time.Microsecond
		}
	}
	return ages
}

func pack(changes []directory.Change) (data []byte, packed bool, err error) {
	if len(changes) == 0 {
		return nil, false, nil
	}
	objects := &relaypb.Objects{Objects: make([]*relaypb.Object, 0, len(changes))}
	for _, c := range changes {
		o := &relaypb.Object{Name: c.Name, Revision: c.Revision, Removed: c.Removed}
		if !c.Removed {
			o.Data = c.Data
		}
		objects.Objects = append(objects.Objects, o)
	}
	data, err = proto.Marshal(objects)
	if err != nil || len(data) < packFrom {
		return data, false, eris.Wrap(err, "encode objects")
	}
	w := packers.Get().(*gzip.Writer)
	defer packers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, false, eris.Wrap(err, "pack objects")
	}
	if err := w.Close(); err != nil {
		return nil, false, eris.Wrap(err, "pack objects")
	}
	return out.Bytes(), true, nil
}

func unpack(data []byte, packed bool) ([]*relaypb.Object, error) {
	if packed {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, eris.Wrap(err, "unpack")
		}
		if data, err = io.ReadAll(io.LimitReader(r, maxMessage)); err != nil {
			return nil, eris.Wrap(err, "unpack")
		}
	}
	var objects relaypb.Objects
	if err := proto.Unmarshal(data, &objects); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	return objects.GetObjects(), nil
}
