// Package clientlimit bounds the memory and the file descriptors that clients' connections use, so that many
// clients that misbehave neither end the process nor keep other clients out.
//
// When a limit is reached, connections that use the most for the longest make room for new ones: first
// connections between two requests, then requests that have not arrived completely. A request that has
// arrived is never dropped.
package clientlimit

import "runtime"

// Limits bounds what clients' connections use together.
type Limits struct {
	Connections  int   // that are open at once
	RequestBytes int64 // in requests, beyond what is counted with their connections
}

// Memory that one connection uses at most, in bytes.
const (
	// receiveBufferBytes and sendBufferBytes are the sizes that are set for the socket's buffers. The kernel
	// doubles them to account for its own data.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 16 << 10
	kernelBytes        = 2 * (receiveBufferBytes + sendBufferBytes)
	// smallBodyBytes is the part of each body that is counted with its connection, so that small requests
	// never compete with large ones.
	smallBodyBytes = 8 << 10
	// freeHeaderFields is the number of header fields that are counted with the connection. Each further one
	// takes headerFieldBytes, much more than its bytes in the header.
	freeHeaderFields = 32
	headerFieldBytes = 256
	// processBytes is for the goroutines, the buffers and the header of a connection with its small body.
	processBytes    = 32 << 10
	connectionBytes = kernelBytes + processBytes
)

// Shares of a machine's limits that clients may use. The rest is for the cell's state, the connections to the
// store, to executors and to other machines, and for garbage that has not been collected.
const (
	connectionMemoryShare = 0.25
	requestMemoryShare    = 0.1
	descriptorShare       = 0.25
	// reservedDescriptors are the file descriptors that the platform keeps for files.
	reservedDescriptors = 200
	// minConnections allows for some clients on any machine.
	minConnections = 16
	// backlogShare is the number of connections that may wait to be accepted, for each that may be open. The
	// kernel receives for them too.
	backlogShare = 0.25
	// processorShare is the share of the processors that large requests may use.
	processorShare = 0.25
)

// largeTurns returns the number of large requests that may be decoded at the same time.
func largeTurns() int { return max(1, int(processorShare*float64(runtime.GOMAXPROCS(0)))) }

// backlog returns the number of connections that may wait to be accepted.
func (l Limits) backlog() int { return max(minConnections, int(backlogShare*float64(l.Connections))) }

// ForMachine returns the limits for a process on a machine with the given memory and number of file
// descriptors. The number is ignored if it is 0.
func ForMachine(memoryBytes int64, fileDescriptors int) Limits {
	connections := int(connectionMemoryShare * float64(memoryBytes) / (connectionBytes + backlogShare*kernelBytes))
	if fileDescriptors > 0 {
		connections = min(connections, int(descriptorShare*float64(fileDescriptors-reservedDescriptors)))
	}
	return Limits{
		Connections:  max(connections, minConnections),
		RequestBytes: int64(requestMemoryShare * float64(memoryBytes)),
	}
}
