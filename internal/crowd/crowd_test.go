//go:build crowd && linux

package crowd

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/platform/standin"
)

var (
	memoryMB     = flag.Int("memory", 96, "memory of each machine, in MB")
	descriptors  = flag.Int("descriptors", 1200, "file descriptors of each machine")
	crowdClients = flag.Int("clients", 600, "clients of a crowd")
	duration     = flag.Duration("duration", 6*time.Second, "how long a crowd stays")
)

// machineCount is the number of machines of a cell.
const machineCount = 3

// playCrowd plays a crowd at the clients' door of a machine. The process must live and stay within the limits
// of its machine, and ordinary clients must get answers while the crowd stays and afterwards.
func playCrowd(t *testing.T, play misbehaviour) {
	c := startCell(t, machineCount, limits{memoryMB: *memoryMB, fileDescriptors: *descriptors})
	m := c.machines[0]
	playCrowdAt(t, m, m.settings.FrontAddress, *crowdClients, play)
}

func playCrowdAt(t *testing.T, m *machine, address string, clients int, play misbehaviour) {
	m.awaitServed("before the crowd")
	w := watch(m)
	crowd := startCrowd(t, address, clients, play)
	time.Sleep(*duration / 2)
	m.awaitServed("while the crowd stays")
	time.Sleep(*duration / 2)
	crowd.stop()
	w.stop(t)
	m.awaitServed("after the crowd")
	t.Logf("dropped: %s", m.dropped())
}

func TestBodiesWithoutEndStayWithinMemory(t *testing.T) { playCrowd(t, bodiesWithoutEnd) }

func TestBodiesInPiecesStayWithinMemory(t *testing.T) { playCrowd(t, bodiesInPieces) }

func TestLargeChunksStayWithinMemory(t *testing.T) { playCrowd(t, oneLargeChunk) }

func TestSmallChunksStayWithinMemory(t *testing.T) { playCrowd(t, smallChunks) }

func TestBodiesOverLimitKeepNobodyOut(t *testing.T) { playCrowd(t, bodiesOverLimit) }

func TestBodiesToUnknownQueuesKeepNobodyOut(t *testing.T) { playCrowd(t, unknownQueues) }

func TestUnreadAnswersStayWithinMemory(t *testing.T) { playCrowd(t, unreadAnswers) }

func TestHeadersWithoutEndStayWithinMemory(t *testing.T) { playCrowd(t, headersWithoutEnd) }

func TestManyHeaderFieldsStayWithinMemory(t *testing.T) { playCrowd(t, manyFields) }

func TestHeaderFieldsWithoutEndStayWithinMemory(t *testing.T) { playCrowd(t, fieldsWithoutEnd) }

func TestBodiesOfManyStepsStayWithinMemory(t *testing.T) { playCrowd(t, wholeBodiesOfManySteps) }

func TestBodiesAskedForStayWithinMemory(t *testing.T) { playCrowd(t, expectContinue) }

func TestWholeJobsOfTheGreatestSizeStayWithinMemory(t *testing.T) { playCrowd(t, wholeJobs) }

func TestRequestsForUnknownJobsStayWithinMemory(t *testing.T) { playCrowd(t, unknownJobs) }

// Crowds that want more connections than the machine has file descriptors.

// fewDescriptors are the file descriptors of a machine at which a small crowd wants them all.
const fewDescriptors = 500

func playConnections(t *testing.T, address func(*machine) string, play misbehaviour) {
	c := startCell(t, machineCount, limits{memoryMB: *memoryMB, fileDescriptors: min(fewDescriptors, *descriptors)})
	m := c.machines[0]
	playCrowdAt(t, m, address(m), *crowdClients, play)
}

func frontAddress(m *machine) string { return m.settings.FrontAddress }

func readinessAddress(m *machine) string { return m.settings.ReadinessAddress }

func peerAddress(m *machine) string { return fmt.Sprintf("127.0.0.1:%d", m.settings.PeerPort) }

func TestIdleConnectionsDoNotEndTheProcess(t *testing.T) {
	playConnections(t, frontAddress, idleConnections)
}

func TestSilentConnectionsDoNotEndTheProcess(t *testing.T) {
	playConnections(t, frontAddress, silentConnections)
}

func TestConnectionsForReadinessDoNotEndTheProcess(t *testing.T) {
	playConnections(t, readinessAddress, silentConnections)
}

func TestConnectionsOfPeersDoNotEndTheProcess(t *testing.T) {
	playConnections(t, peerAddress, silentConnections)
}

// The other machines need new connections while the crowd wants all file descriptors.
func TestPeersReconnectBesideACrowd(t *testing.T) {
	c := startCell(t, machineCount, limits{memoryMB: *memoryMB, fileDescriptors: min(fewDescriptors, *descriptors)})
	m := c.machines[0]
	m.awaitServed("before the crowd")
	w := watch(m)
	crowd := startCrowd(t, m.settings.FrontAddress, *crowdClients, headersWithoutEnd)
	time.Sleep(*duration / 3)
	for _, other := range c.machines[1:] {
		other.kill()
		other.start()
	}
	for _, other := range c.machines[1:] {
		other.awaitReady()
		other.awaitServed("at a machine that came back")
	}
	time.Sleep(*duration / 3)
	m.awaitServed("while the crowd stays")
	crowd.stop()
	w.stop(t)
	m.awaitServed("after the crowd")
}

// A planned stop ends in time although the crowd's requests don't end.
func TestPlannedStopUnderACrowd(t *testing.T) {
	c := startCell(t, machineCount, limits{memoryMB: *memoryMB, fileDescriptors: *descriptors})
	m := c.machines[0]
	m.awaitServed("before the crowd")
	w := watch(m)
	crowd := startCrowd(t, m.settings.FrontAddress, *crowdClients, bodiesInPieces)
	time.Sleep(*duration / 3)
	kill := time.AfterFunc(time.Duration(m.settings.GraceSeconds)*time.Second, func() { m.kill() })
	began := time.Now()
	if err := m.stop(); err != nil {
		t.Errorf("the process ended with %v\n%s", err, m.log)
	}
	kill.Stop()
	t.Logf("stopped after %v of a grace of %d s", time.Since(began), m.settings.GraceSeconds)
	w.stop(t)
	crowd.stop()
	c.machines[1].awaitServed("at another machine")
}

// A single request of the greatest size is accepted in calm.
func TestLargestRequestIsAccepted(t *testing.T) {
	c := startCell(t, machineCount, limits{memoryMB: *memoryMB, fileDescriptors: *descriptors})
	body := standin.Submission("1ms", 1)
	body += fmt.Sprintf("%*s", maxBodyBytes-len(body), "")
	c.machines[0].awaitAccepted("in calm", "00000000000e0001", body)
}
