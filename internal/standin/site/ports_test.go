package site

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

// portsHelper is the environment variable with which the test runs itself as a
// process that reserves ports.
const portsHelper = "SITE_TEST_RESERVE_PORTS"

// Guards against a port of a node that restarts being taken by the nodes of another
// process, for example of another package's tests.
func TestProcessesUseDifferentPorts(t *testing.T) {
	const entries = 200 // more than one block of ports
	if os.Getenv(portsHelper) != "" {
		s, err := Start(Config{DataCentres: []api.DataCentre{"a"}})
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		all, err := s.EntrySettings(entries)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range all {
			fmt.Print(e.Listen.Callers, " ", e.Listen.Operators, " ", e.Listen.Peers, " ")
		}
		fmt.Println()
		_, _ = io.ReadAll(os.Stdin) // the ports are in use until the parent has compared them
		return
	}
	users := make(map[string]int)
	for i := range 4 {
		helper := exec.Command(os.Args[0], "-test.run=^TestProcessesUseDifferentPorts$")
		helper.Env = append(os.Environ(), portsHelper+"=1")
		stdin, err := helper.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		stdout, err := helper.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := helper.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = stdin.Close()
			_ = helper.Wait()
		})
		line, err := bufio.NewReader(stdout).ReadString('\n')
		if err != nil {
			t.Fatalf("process %d: %v", i, err)
		}
		addresses := strings.Fields(line)
		if len(addresses) != entries*portsPerEntry {
			t.Fatalf("process %d has %d ports, want %d: %s", i, len(addresses), entries*portsPerEntry, line)
		}
		for _, a := range addresses {
			if other, used := users[a]; used {
				t.Fatalf("%s is used by processes %d and %d", a, other, i)
			}
			users[a] = i
		}
	}
}
