package model

import (
	"cmp"
	"fmt"
	"strconv"
)

// Position is a point in the history of the store, which numbers its changes by revisions. If the store
// comes back from an older copy, a new era begins and it gives out the revisions after those of the copy
// again. Positions are ordered by era, then by revision.
type Position struct {
	Era      uint64 // rises with each return from a copy; 0 if the store does not state it
	Revision uint64 // 0 before the first answer of the store
}

// Compare returns a negative number if p is before q, 0 if they are equal, and a positive number if p is
// after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Era, q.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, q.Revision)
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// String returns ERA:REVISION, or only the revision if the store does not state its era.
func (p Position) String() string {
	if p.Era == 0 {
		return strconv.FormatUint(p.Revision, 10)
	}
	return fmt.Sprintf("%d:%d", p.Era, p.Revision)
}
