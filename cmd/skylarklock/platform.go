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

// Memory limits of a process on the platform.
const (
	// memoryLimitShare is the share of the machine's memory that is set as the
	// memory limit, near which the garbage collector runs more often. The rest
	// is left for kernel buffers.
	memoryLimitShare = 0.6
	// heapGrowthPercent is the growth of the heap between two collections.
	// It is above Go's default of 100 because live data is small (about
	// 10 MB, or 30 MB on a machine that leads 540 executors) and processor
	// time costs more than memory.
	heapGrowthPercent = 200
)

// runOnPlatform runs the process on the users' platform.
func runOnPlatform() int {
	s, err := platform.ReadSettings()
	if err != nil {
		return badInput(err)
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	debug.SetGCPercent(heapGrowthPercent)
	log, err := logging.New(os.Stdout, "info")
	if err != nil {
		return badInput(err)
	}
	logger := logging.ForNode(log, s.Node, s.DataCentre)
	ctx, stop := shutdownContext()
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			logger.Info("settings file may have changed; address changes take effect at the next start")
		}
	}()
	if err := node.New(s, logger).Run(ctx); err != nil {
		logger.WithError(err).Error("process failed")
		return exitFailed
	}
	return exitOK
}
