package capacity

import "github.com/skylarklock/skylarklock/internal/cell"

// appliedTime is the processor time, in ms, of applying starts and of the
// reports of each ending.
func appliedTime(size int, endings ...cell.Ending) (float64, error) {
	s, err := newCellState(1700)
	if err != nil {
		return 0, err
	}
	var waiting [][]cell.Start
	for range size / tasksPerJob {
		starts, err := s.submit(tasksPerJob)
		if err != nil {
			return 0, err
		}
		waiting = append(waiting, starts)
	}
	seconds, err := processorTime(func() error {
		for _, starts := range waiting {
			if err := s.start(starts, endings...); err != nil {
				return err
			}
		}
		return nil
	})
	return seconds * milliseconds, err
}

// image is a snapshot of a cell, with its costs.
type image struct {
	bytes         float64
	taken, loaded float64 // processor time, milliseconds
}

func snapshotCell(tasks int) (image, error) {
	s, err := newCellState(1700)
	if err != nil {
		return image{}, err
	}
	if err := s.fill(tasks, tasksPerJob, cell.ReportRunning); err != nil {
		return image{}, err
	}
	var data []byte
	taken, err := processorTime(func() error {
		data, err = s.machine.Snapshot()
		return err
	})
	if err != nil {
		return image{}, err
	}
	loaded, err := processorTime(func() error { return cell.New(firstEpoch{}, nil).Restore(data) })
	return image{bytes: float64(len(data)), taken: taken * milliseconds, loaded: loaded * milliseconds}, err
}

func cellTime() []Measurement {
	images := newMemo(snapshotCell)
	starts := []int{10_000, 20_000, 40_000, 80_000}
	tasks := []int{10_000, 42_000, 100_000, 200_000}
	return []Measurement{
		{
			Name: "cell_start_time", XLabel: "starts applied, 25 to an entry", YLabel: "processor time, ms", Sizes: starts,
			Run: func(size int) (float64, error) { return appliedTime(size) },
		}, {
			Name: "cell_life_time", XLabel: "tasks started, seen running, ended", YLabel: "processor time, ms", Sizes: starts,
			Run: func(size int) (float64, error) {
				return appliedTime(size, cell.ReportRunning, cell.ReportSucceeded)
			},
		}, {
			Name: "cell_snapshot_bytes", XLabel: "running tasks", YLabel: "bytes", Sizes: tasks,
			Run: images.read(func(i image) float64 { return i.bytes }),
		}, {
			Name: "cell_snapshot_time", XLabel: "running tasks", YLabel: "processor time, ms", Sizes: tasks,
			Run: images.read(func(i image) float64 { return i.taken }),
		}, {
			Name: "cell_restore_time", XLabel: "running tasks", YLabel: "processor time, ms", Sizes: tasks,
			Run: images.read(func(i image) float64 { return i.loaded }),
		},
	}
}
