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

// encodeUpdate encodes a message for followers.
func encodeUpdate(e directory.SendUpdate) (*relaypb.Update, error) {
	m := &relaypb.Update{KnownEra: e.Era, AgesMicros: encodeAges(e.Ages), Orders: encodeRollouts(e.Rollouts), Loads: encodeLoads(e.Loads), LoadsWanted: e.LoadsWanted}
	if e.Update == nil {
		return m, nil
	}
	m.Kind = uint32(e.Update.Kind)
	m.Full = e.Update.Full
	m.Era, m.Since, m.Revision = e.Update.Position.Era, e.Update.Since.Revision, e.Update.Position.Revision
	var err error
	m.Objects, m.Packed, err = encodeObjects(e.Update.Changes)
	return m, err
}

// compressionThreshold is the size in bytes from which encoded objects are compressed.
const compressionThreshold = 2048

// gzipWriters pools gzip writers, since each allocates about 1 MB.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // only an invalid level causes an error
	}
	return w
}}

// encodeAges returns the ages in microseconds plus one. 0 stands for an unknown age.
func encodeAges(ages directory.Ages) []uint64 {
	micros := make([]uint64, len(ages))
	for k, age := range ages {
		if age != directory.UnknownAge {
			micros[k] = uint64(age.Microseconds() + 1)
		}
	}
	return micros
}

// decodeAges reverses encodeAges. The age of a kind that the sender does not list is unknown.
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

// encodeObjects encodes the changes and compresses the result from compressionThreshold on.
func encodeObjects(changes []directory.Change) (data []byte, packed bool, err error) {
	if len(changes) == 0 {
		return nil, false, nil
	}
	objects := &relaypb.Objects{Objects: make([]*relaypb.Object, 0, len(changes))}
	for _, c := range changes {
		o := &relaypb.Object{Name: c.Name, Era: c.Position.Era, Revision: c.Position.Revision, Removed: c.Removed}
		if !c.Removed {
			o.Data = c.Data
		}
		objects.Objects = append(objects.Objects, o)
	}
	data, err = proto.Marshal(objects)
	if err != nil || len(data) < compressionThreshold {
		return data, false, eris.Wrap(err, "encode objects")
	}
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, false, eris.Wrap(err, "compress objects")
	}
	if err := w.Close(); err != nil {
		return nil, false, eris.Wrap(err, "compress objects")
	}
	return out.Bytes(), true, nil
}

// decodeObjects reverses encodeObjects. It decompresses at most maxMessage bytes.
func decodeObjects(data []byte, packed bool) ([]*relaypb.Object, error) {
	if packed {
		r, err := gzip.NewReader(bytes.NewReader(data))
		if err != nil {
			return nil, eris.Wrap(err, "decompress objects")
		}
		if data, err = io.ReadAll(io.LimitReader(r, maxMessage)); err != nil {
			return nil, eris.Wrap(err, "decompress objects")
		}
	}
	var objects relaypb.Objects
	if err := proto.Unmarshal(data, &objects); err != nil {
		return nil, eris.Wrap(err, "decode objects")
	}
	return objects.GetObjects(), nil
}
