// Package nonzero fills structs with distinct non-zero values. Tests of conversions use it to find
// fields that a conversion does not copy, including fields that are added later.
package nonzero

import (
	"fmt"
	"reflect"
	"time"
)

// Fill sets every exported field reachable from the value that v points to, each to a non-zero
// value that differs from the others where the type allows it. Slices get two elements, maps one.
// For an interface type, choose returns a value of the concrete type to use; choose may be nil if
// no interface type is reachable. Fill panics on kinds that it does not support.
func Fill(v any, choose func(reflect.Type) any) {
	f := filler{choose: choose}
	f.fill(reflect.ValueOf(v).Elem())
}

type filler struct {
	count  int
	choose func(reflect.Type) any
}

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch x := v.Addr().Interface().(type) {
	case *time.Time:
		*x = time.Date(2026, 12, 4, 7, 0, f.count, 123456789, time.UTC)
		return
	case *time.Duration:
		*x = time.Duration(f.count) * time.Millisecond
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.count))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count))
	case reflect.Uint8:
		v.SetUint(uint64(f.count%255) + 1)
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count))
	case reflect.Float64, reflect.Float32:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		f.fillMap(v)
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Interface:
		chosen := reflect.New(reflect.TypeOf(f.choose(v.Type()))).Elem()
		f.fill(chosen)
		v.Set(chosen)
	default:
		panic(fmt.Sprintf("nonzero: no value for %v", v.Type()))
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) fillMap(v reflect.Value) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}
