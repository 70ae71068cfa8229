package store

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/rotisserie/eris"

	"github.com/gooseberrylock/gooseberrylock/model"
	"github.com/gooseberrylock/gooseberrylock/template"
)

var (
	// ErrUnknownKind is returned for an object of a kind that this build does not support.
	ErrUnknownKind = eris.New("unknown kind of object")
	// ErrUnreadable is returned for an object that exists in the store but cannot be decoded by
	// this build. It does not mean that the store has failed.
	ErrUnreadable = eris.New("object cannot be read by this version")
	// ErrNoContent is returned for an object without the content that its kind requires.
	ErrNoContent = eris.New("object has no content")
)

// record is the JSON form of an object's data in the store.
type record struct {
	Write model.WriteID  `json:"write"`
	Base  uint64         `json:"base"`
	Value jsontext.Value `json:"value"` // for a template, the text that the operator applied as a JSON string
}

// Encode returns the data of an object as JSON, or nil for a deleted object. The error wraps
// ErrNoContent or ErrUnknownKind if the object cannot be encoded.
func Encode(o model.Object) ([]byte, error) {
	if o.Deleted {
		return nil, nil
	}
	value, err := encodeValue(&o)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(record{Write: o.Write, Base: o.Base, Value: value}, json.Deterministic(true))
	return data, eris.Wrapf(err, "encode object %s", o.Key)
}

func encodeValue(o *model.Object) (jsontext.Value, error) {
	var v any
	if o.Template == nil && o.Zone == nil && o.Automation == nil && o.Move == nil && o.Roster == nil {
		return nil, eris.Wrapf(ErrNoContent, "object %s", o.Key)
	}
	switch o.Key.Kind {
	case model.ObjectTemplate:
		if o.Template == nil {
			return nil, eris.Wrapf(ErrNoContent, "object %s", o.Key)
		}
		v = o.Template.Text
	case model.ObjectZone:
		v = o.Zone
	case model.ObjectAutomation:
		v = o.Automation
	case model.ObjectMove:
		v = o.Move
	case model.ObjectRoster:
		v = o.Roster
	default:
		return nil, eris.Wrapf(ErrUnknownKind, "object %s", o.Key)
	}
	data, err := json.Marshal(v, json.Deterministic(true))
	if err == nil && string(data) == "null" {
		err = ErrNoContent
	}
	return data, eris.Wrapf(err, "encode object %s", o.Key)
}

// Decode is the inverse of Encode. The error wraps ErrUnknownKind if this build does not support the
// kind. An object that is returned with an error has no content.
func Decode(key model.ObjectKey, version uint64, deleted bool, data []byte) (model.Object, error) {
	o := model.Object{Key: key, Version: version, Deleted: deleted}
	if deleted {
		return o, nil
	}
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return o, eris.Wrapf(err, "decode object %s", key)
	}
	o.Write = r.Write
	o.Base = r.Base
	return o, eris.Wrapf(decodeValue(&o, r.Value), "decode object %s", key)
}

func decodeValue(o *model.Object, data jsontext.Value) error {
	switch o.Key.Kind {
	case model.ObjectTemplate:
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		t, err := template.Parse(o.Key.String(), []byte(text))
		if err != nil {
			return err
		}
		if string(t.Customer) != o.Key.Name {
			return eris.Errorf("the template is for customer %s", t.Customer)
		}
		o.Template = t
		return nil
	case model.ObjectZone:
		return unmarshal(data, &o.Zone)
	case model.ObjectAutomation:
		return unmarshal(data, &o.Automation)
	case model.ObjectMove:
		return unmarshal(data, &o.Move)
	case model.ObjectRoster:
		return unmarshal(data, &o.Roster)
	}
	return ErrUnknownKind
}

func unmarshal[T any](data []byte, into **T) error {
	if string(data) == "null" || len(data) == 0 {
		return ErrNoContent
	}
	v := new(T)
	if err := json.Unmarshal(data, v); err != nil {
		return err
	}
	*into = v
	return nil
}
