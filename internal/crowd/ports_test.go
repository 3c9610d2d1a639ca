//go:build crowd && linux

package crowd

import "testing"

// Guards against two machines, or two listeners of one, on the same port: a process then ends before it is ready.
func TestPortsAreHandedOutOnce(t *testing.T) {
	seen := make(map[int]bool)
	for range 500 {
		port := freeAddress(t).Port
		if seen[port] {
			t.Fatalf("port %d was handed out twice", port)
		}
		seen[port] = true
	}
}
