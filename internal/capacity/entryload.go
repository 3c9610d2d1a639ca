package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/entry"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/schema"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// loadDuration is how long callers send requests at each rate.
const loadDuration = 1500 * time.Millisecond

// loadRates are the offered loads in requests per second.
var loadRates = []int{100, 200, 400, 800}

// measureEntryLoad returns, for each of loadRates, the processor time of one entry
// process, its callers and its executors, in ms per second.
func measureEntryLoad(int) (map[int]float64, error) {
	s, err := site.Start(site.Config{
		DataCentres: []api.DataCentre{"dc-a"}, VMsPerDataCentre: 50, VMsPerRack: 6, Capacity: vmSize,
		Services: []site.Service{{Name: "torquebench", ExecutorsPerDataCentre: 50, Slots: 8, Connections: 60, ServiceTime: time.Millisecond}},
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	entrySettings, err := s.EntrySettings(1)
	if err != nil {
		return nil, err
	}
	node, err := entry.New(entrySettings[0], nopLogger())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var runErr error
	running.Go(func() { runErr = node.Run(ctx) })
	time.Sleep(singleEntrySettleTime)
	costs, err := measureLoadRates(entrySettings[0].Listen)
	cancel()
	running.Wait()
	return costs, errors.Join(err, runErr)
}

// measureLoadRates publishes the service and measures the load at each rate.
func measureLoadRates(listen settings.Listen) (map[int]float64, error) {
	if err := publishService(listen.Operators); err != nil {
		return nil, err
	}
	costs := make(map[int]float64)
	for _, rate := range loadRates {
		seconds, err := sendLoad(listen.Callers, rate)
		if err != nil {
			return nil, err
		}
		costs[rate] = seconds * msPerSecond / loadDuration.Seconds()
	}
	return costs, nil
}

// publishService publishes the record of the service and waits long enough for it
// to be in force.
func publishService(operators string) error {
	record, err := json.Marshal(api.Record{
		Kind: api.KindService, Name: "torquebench", SchemaVersion: schema.LatestVersion(api.KindService), Spec: json.RawMessage(`{}`),
	})
	if err != nil {
		return err
	}
	answer, err := http.Post("http://"+operators+"/v1/records", "application/json", bytes.NewReader(record))
	if err != nil {
		return errors.Wrap(err, "publish the service")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Newf("publish the service: status %d", answer.StatusCode)
	}
	time.Sleep(singleEntrySettleTime / 4)
	return nil
}

// sendLoad sends idempotent requests at a rate and returns the processor time used,
// in seconds. It fails if not all requests ran.
func sendLoad(address string, rate int) (float64, error) {
	runner, err := load.NewRunner(load.Config{
		Entries: []string{address}, Duration: loadDuration, MaxOpen: 1000, IDPrefix: fmt.Sprint("capacity-", rate),
		Streams: []load.Stream{{
			Caller: "tablet", Class: "interactive", Service: "torquebench", Path: "/sweep",
			Rate: float64(rate), Idempotent: true, BodyBytes: 200, Timeout: 5 * time.Second,
		}},
	})
	if err != nil {
		return 0, err
	}
	var results []*load.Result
	seconds, _ := measureCPUSeconds(func() error {
		results = runner.Run(context.Background())
		return nil
	})
	if ran, sent := results[0].Count(api.OutcomeRan), results[0].Sent(); ran < sent || sent == 0 {
		return 0, errors.Newf("%d of %d requests ran", ran, sent)
	}
	return seconds, nil
}

func entryRequestMeasurements() []Measurement {
	cache := newRunCache(measureEntryLoad)
	return []Measurement{{
		Name: "entry_request_time", XLabel: "requests a second", YLabel: "processor ms a second of callers, entry and executors",
		Sizes: loadRates,
		Run: func(size int) (float64, error) {
			costs, err := cache.result(0)
			return costs[size], err
		},
	}}
}
