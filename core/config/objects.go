package config

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberrylock/gooseberrylock/model"
)

// objectSet holds the newest known version of every object, including tombstones of deleted
// objects.
type objectSet struct {
	kinds    map[model.ObjectKind][]*model.Object // each sorted by name
	digest   uint64                               // sum of the objects' hashes, so that it can be updated incrementally
	revision uint64                               // highest version of any object
}

func newObjectSet() objectSet {
	return objectSet{kinds: make(map[model.ObjectKind][]*model.Object)}
}

func (s *objectSet) find(key model.ObjectKey) (int, bool) {
	return slices.BinarySearchFunc(s.kinds[key.Kind], key.Name, func(o *model.Object, name string) int {
		return strings.Compare(o.Key.Name, name)
	})
}

// get returns the object with the key, or nil.
func (s *objectSet) get(key model.ObjectKey) *model.Object {
	i, ok := s.find(key)
	if !ok {
		return nil
	}
	return s.kinds[key.Kind][i]
}

// version returns the version of the object with the key, or 0.
func (s *objectSet) version(key model.ObjectKey) uint64 {
	if o := s.get(key); o != nil {
		return o.Version
	}
	return 0
}

// put stores a copy of o in place of the object with the same key.
func (s *objectSet) put(o *model.Object) {
	kept := *o
	i, ok := s.find(o.Key)
	if ok {
		s.digest -= hashObject(s.kinds[o.Key.Kind][i])
		s.kinds[o.Key.Kind][i] = &kept
	} else {
		s.kinds[o.Key.Kind] = slices.Insert(s.kinds[o.Key.Kind], i, &kept)
	}
	s.digest += hashObject(&kept)
	s.revision = max(s.revision, o.Version)
}

func (s *objectSet) ofKind(kind model.ObjectKind) []*model.Object { return s.kinds[kind] }

// newer returns the objects with a version above since, ordered by version.
func (s *objectSet) newer(since uint64) []model.Object {
	if since >= s.revision {
		return nil
	}
	var found []model.Object
	for _, objects := range s.kinds {
		for _, o := range objects {
			if o.Version > since {
				found = append(found, *o)
			}
		}
	}
	slices.SortFunc(found, func(a, b model.Object) int {
		return cmp.Compare(a.Version, b.Version)
	})
	return found
}

// hashObject hashes the key and the version, which together identify the content.
func hashObject(o *model.Object) uint64 { return hashKey(o.Key, o.Version, 0, "") }

func hashKey(key model.ObjectKey, version, clock uint64, vm model.VM) uint64 {
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	writeNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:]) // never fails
	}
	writeString := func(s string) {
		writeNumber(uint64(len(s)))
		_, _ = d.WriteString(s) // never fails
	}
	writeString(string(key.Kind))
	writeString(key.Name)
	writeNumber(version)
	writeNumber(clock)
	writeString(string(vm))
	return d.Sum64()
}

// hasContentOfKind reports whether o has the content that its kind requires. Objects of
// unknown kinds are accepted and passed on, since a newer daemon may use them.
func hasContentOfKind(o *model.Object) bool {
	if o.Deleted {
		return true
	}
	switch o.Key.Kind {
	case model.ObjectTemplate:
		return o.Template != nil
	case model.ObjectZone:
		return o.Zone != nil
	case model.ObjectAutomation:
		return o.Automation != nil
	case model.ObjectMove:
		return o.Move != nil
	case model.ObjectRoster:
		return o.Roster != nil
	}
	return true
}
