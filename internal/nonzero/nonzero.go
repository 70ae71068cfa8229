// Package nonzero fills values for tests of conversions: a field that a conversion leaves
// out is then noticed, even one that is added later.
package nonzero

import (
	"fmt"
	"reflect"
	"time"
)

// Fill sets every exported field reachable from the value that v points to, each to another
// value that is not zero. Slices get two elements, maps one. choose returns the value of an
// interface type; it may be nil if there is none.
func Fill(v any, choose func(reflect.Type) any) {
	f := filler{choose: choose}
	f.fill(reflect.ValueOf(v).Elem())
}

type filler struct {
	n      int
	choose func(reflect.Type) any
}

func (f *filler) fill(v reflect.Value) {
	f.n++
	switch x := v.Addr().Interface().(type) {
	case *time.Time:
		*x = time.Date(2026, 12, 4, 7, 0, f.n, 123456789, time.UTC)
		return
	case *time.Duration:
		*x = time.Duration(f.n) * time.Millisecond
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.n))
	case reflect.Uint8:
		v.SetUint(uint64(f.n%255) + 1)
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.n))
	case reflect.Float64, reflect.Float32:
		v.SetFloat(float64(f.n) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.elements(v)
	case reflect.Array:
		f.elements(v)
	case reflect.Map:
		f.entry(v)
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

func (f *filler) elements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) entry(v reflect.Value) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}
