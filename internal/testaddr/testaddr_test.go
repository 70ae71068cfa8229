package testaddr

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestFree guards against an address that is allocated twice, or that an outgoing connection can
// occupy before it is used.
func TestFree(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 100 {
		address, err := Free()
		is.NoErr(err)
		is.True(!seen[address])
		seen[address] = true
		lis, err := net.Listen("tcp", address)
		is.NoErr(err)
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		is.True(conn.LocalAddr().(*net.TCPAddr).Port > lastPort)
		is.NoErr(conn.Close())
		is.NoErr(lis.Close())
	}
}
