package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/node"
	"github.com/skylarklock/skylarklock/platform"
)

// Memory of a process on the platform.
const (
	// memoryShare is the share of the machine's memory at which the garbage
	// collector works harder; the rest is for buffers of the kernel.
	memoryShare = 0.6
	// heapGrowth is the growth of the heap, in percent, between two
	// collections. Live data is about 10 MB, 30 on a machine that leads 540
	// executors, and processor time costs more than memory.
	heapGrowth = 200
)

// runOnPlatform runs the process on the users' platform.
func runOnPlatform() int {
	s, err := platform.ReadSettings()
	if err != nil {
		return badInput(err)
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	debug.SetGCPercent(heapGrowth)
	log, err := logging.New(os.Stdout, "info")
	if err != nil {
		return badInput(err)
	}
	events := logging.ForNode(log, s.Node, s.DataCentre)
	ctx, stop := shutdownContext()
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			events.Info("settings file may have changed; addresses stay as they are until the next start")
		}
	}()
	if err := node.New(s, events).Run(ctx); err != nil {
		events.WithError(err).Error("process failed")
		return exitFailed
	}
	return exitOK
}
