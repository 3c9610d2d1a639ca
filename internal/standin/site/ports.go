package site

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports of entry VMs are below the kernel's range for outgoing connections
// (32768 and up). Otherwise an outgoing connection could take a port between
// its selection and the call to listen, or while a node restarts.
const (
	firstPort  = 10_000
	blockCount = 100
	blockSize  = 200
)

// portReservations reserves ports for the entry VMs of this process. Ports are
// reserved in blocks: a process listens on the first port of each of its blocks
// until it ends, so no other process takes a port of a node that has not started
// yet or that restarts.
type portReservations struct {
	mu     sync.Mutex
	guards []net.Listener // one for each block of this process
	next   int            // the next port of the newest block
	end    int            // the port after that block
}

// ports are the reservations of this process.
var ports portReservations

// reserve returns n addresses of 127.0.0.1 that this process has not returned
// before and on which nothing listens at the moment.
func (r *portReservations) reserve(n int) ([]string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var addresses []string
	for len(addresses) < n {
		if r.next == r.end {
			if err := r.addBlock(); err != nil {
				return nil, err
			}
			continue
		}
		address := loopback(r.next)
		r.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // used by a program that reserves no blocks
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "release the probed port")
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// addBlock reserves another block.
func (r *portReservations) addBlock() error {
	for i := range blockCount {
		first := firstPort + (os.Getpid()+i)%blockCount*blockSize
		guard, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		r.guards = append(r.guards, guard)
		r.next, r.end = first+1, first+blockSize
		return nil
	}
	return errors.Newf("all %d blocks of ports from %d on are in use", blockCount, firstPort)
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
