package capacity

import "github.com/skylarklock/skylarklock/internal/cell"

// measureApply returns the processor time, in ms, of applying starts and the
// reports of each of the endings.
func measureApply(size int, endings ...cell.AttemptStatus) (float64, error) {
	s, err := newCellState(1700)
	if err != nil {
		return 0, err
	}
	var startsByJob [][]cell.Start
	for range size / tasksPerJob {
		starts, err := s.submitJob(tasksPerJob)
		if err != nil {
			return 0, err
		}
		startsByJob = append(startsByJob, starts)
	}
	seconds, err := measureCPUSeconds(func() error {
		for _, starts := range startsByJob {
			if err := s.startTasks(starts, endings...); err != nil {
				return err
			}
		}
		return nil
	})
	return seconds * msPerSecond, err
}

// snapshotCost is the size of a cell's snapshot and the cost of taking and restoring
// it.
type snapshotCost struct {
	bytes             float64
	takeMs, restoreMs float64 // processor time
}

// measureSnapshot takes and restores a snapshot of a cell that runs tasks.
func measureSnapshot(tasks int) (snapshotCost, error) {
	s, err := newCellState(1700)
	if err != nil {
		return snapshotCost{}, err
	}
	if err := s.runTasks(tasks, tasksPerJob, cell.AttemptRunning); err != nil {
		return snapshotCost{}, err
	}
	var data []byte
	taken, err := measureCPUSeconds(func() error {
		data, err = s.machine.Snapshot()
		return err
	})
	if err != nil {
		return snapshotCost{}, err
	}
	loaded, err := measureCPUSeconds(func() error { return cell.New(fixedEpoch{}, nil).Restore(data) })
	return snapshotCost{bytes: float64(len(data)), takeMs: taken * msPerSecond, restoreMs: loaded * msPerSecond}, err
}

func cellTimeMeasurements() []Measurement {
	snapshots := newRunCache(measureSnapshot)
	starts := []int{10_000, 20_000, 40_000, 80_000}
	tasks := []int{10_000, 42_000, 100_000, 200_000}
	return []Measurement{
		{
			Name: "cell_start_time", XLabel: "starts applied, 25 to an entry", YLabel: "processor time, ms", Sizes: starts,
			Run: func(size int) (float64, error) { return measureApply(size) },
		}, {
			Name: "cell_life_time", XLabel: "tasks started, seen running, ended", YLabel: "processor time, ms", Sizes: starts,
			Run: func(size int) (float64, error) {
				return measureApply(size, cell.AttemptRunning, cell.AttemptSucceeded)
			},
		}, {
			Name: "cell_snapshot_bytes", XLabel: "running tasks", YLabel: "bytes", Sizes: tasks,
			Run: snapshots.costFunc(func(i snapshotCost) float64 { return i.bytes }),
		}, {
			Name: "cell_snapshot_time", XLabel: "running tasks", YLabel: "processor time, ms", Sizes: tasks,
			Run: snapshots.costFunc(func(i snapshotCost) float64 { return i.takeMs }),
		}, {
			Name: "cell_restore_time", XLabel: "running tasks", YLabel: "processor time, ms", Sizes: tasks,
			Run: snapshots.costFunc(func(i snapshotCost) float64 { return i.restoreMs }),
		},
	}
}
