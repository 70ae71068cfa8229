package dispatch

import (
	"bytes"
	"slices"
)

// recordBytes is the size of one record in a server's reply.
const recordBytes = 16

// record is one result of a shard. Answers are sorted by descending byte order of their records.
type record [recordBytes]byte

func descending(a, b record) int { return bytes.Compare(b[:], a[:]) }

// mergeTop returns the greatest n records of the bodies, greatest first, as one body. It keeps
// duplicates, and ignores trailing bytes of a body that are shorter than a record.
func mergeTop(bodies [][]byte, n int) []byte {
	top := make([]record, 0, n+1)
	for _, rest := range bodies {
		for ; len(rest) >= recordBytes; rest = rest[recordBytes:] {
			r := record(rest[:recordBytes])
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
