package dispatch

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record of a part.
const recordBytes = 16

// record is one result of a shard; greater ones come first in an answer.
type record [recordBytes]byte

func descending(a, b record) int { return bytes.Compare(b[:], a[:]) }

// mergeTop returns the greatest n records of the parts, greatest first, as one body. Equal
// records all count. A rest of a part that is shorter than a record is left out.
func mergeTop(parts [][]byte, n int) []byte {
	top := make([]record, 0, n+1)
	for _, part := range parts {
		for ; len(part) >= recordBytes; part = part[recordBytes:] {
			r := record(part[:recordBytes])
			if len(top) == n && (n == 0 || descending(r, top[n-1]) >= 0) {
				continue
			}
			at, _ := slices.BinarySearchFunc(top, r, descending)
			top = slices.Insert(top, at, r)
			top = top[:min(len(top), n)]
		}
	}
	body := make([]byte, 0, len(top)*recordBytes)
	for _, r := range top {
		body = append(body, r[:]...)
	}
	return body
}
