// Package testaddr allocates loopback addresses for tests that need to know an address before a
// program listens on it.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstPort and lastPort bound the allocated ports. They lie below the range of ephemeral
	// ports, so that no outgoing connection can occupy an address before it is used.
	firstPort = 10_000
	lastPort  = 30_000
)

var next atomic.Int64

// Free returns a free address that this process has not allocated before. The IP address is
// derived from the process ID, so that test binaries that run in parallel get different addresses.
func Free() (string, error) {
	pid := os.Getpid()
	for {
		port := firstPort + next.Add(1)
		if port > lastPort {
			return "", fmt.Errorf("all loopback addresses of process %d have been handed out", pid)
		}
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, 1+pid&0x7f, port)
		lis, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		if err := lis.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
}
