package relay

import (
	"bytes"
	"compress/gzip"
	"io"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberrylock/gooseberrylock/core/directory"
	"github.com/gooseberrylock/gooseberrylock/peer/relay/relaypb"
)

// encode translates a message for followers.
func encode(e directory.Spread) (*relaypb.Update, error) {
	m := &relaypb.Update{AgesMicros: encodeAges(e.Ages)}
	if e.Update == nil {
		return m, nil
	}
	m.Kind = uint32(e.Update.Kind)
	m.Full = e.Update.Full
	m.Since = e.Update.Since
	m.Revision = e.Update.Revision
	var err error
	m.Objects, err = pack(e.Update.Changes)
	return m, err
}

// encodeAges writes ages from 1 on, since 0 stands for an unknown one.
func encodeAges(ages directory.Ages) []uint64 {
	micros := make([]uint64, len(ages))
	for k, age := range ages {
		if age != directory.Unknown {
			micros[k] = uint64(age.Microseconds() + 1)
		}
	}
	return micros
}

func decodeAges(micros []uint64) directory.Ages {
	var ages directory.Ages
	for k := range ages {
		ages[k] = directory.Unknown
		if k < len(micros) && micros[k] > 0 {
			ages[k] = time.Duration(micros[k]-1) * time.Microsecond
		}
	}
	return ages
}

func pack(changes []directory.Change) ([]byte, error) {
	if len(changes) == 0 {
		return nil, nil
	}
	var objects relaypb.Objects
	for _, c := range changes {
		o := &relaypb.Object{Name: c.Name, Revision: c.Revision, Removed: c.Removed}
		if !c.Removed {
			o.Data = c.Data
		}
		objects.Objects = append(objects.Objects, o)
	}
	data, err := proto.Marshal(&objects)
	if err != nil {
		return nil, eris.Wrap(err, "encode objects")
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "pack objects")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack objects")
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]*relaypb.Object, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxMessage))
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	var objects relaypb.Objects
	if err := proto.Unmarshal(data, &objects); err != nil {
		return nil, eris.Wrap(err, "decode")
	}
	return objects.GetObjects(), nil
}
