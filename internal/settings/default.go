package settings

import "time"

const (
	kib = 1 << 10
	mib = 1 << 20
)

// Default returns the default settings. The identity of the VM, addresses and
// URLs have no defaults and are empty.
func Default() *Settings {
	return &Settings{
		Log:              defaultLog(),
		VMList:           VMList{Interval: seconds(2), Timeout: seconds(2)},
		Journal:          defaultJournal(),
		Hold:             defaultHold(),
		Limits:           defaultLimits(),
		LogLevel:         "info",
		DrainDeadline:    seconds(30),
		ReadinessDelay:   seconds(2),
		RequestRetention: Duration(time.Hour),
	}
}

func defaultLog() Log {
	return Log{
		AppendTimeout: seconds(2),
		ReadTimeout:   seconds(2),
		ReadWait:      seconds(1),
		ReadRecords:   500,
		RetryMin:      Duration(50 * time.Millisecond),
		RetryMax:      Duration(500 * time.Millisecond),
	}
}

func defaultJournal() Journal {
	return Journal{
		BatchBytes:       256 * kib,
		BatchDelay:       Duration(5 * time.Millisecond),
		AppendsPerSecond: 300,
		BacklogBytes:     4 * mib,
		SnapshotInterval: Duration(2 * time.Minute),
		SnapshotRecords:  5000,
	}
}

func defaultHold() Hold {
	return Hold{
		Hold:      seconds(3),
		Lease:     seconds(10),
		Heartbeat: Duration(500 * time.Millisecond),
		Drift:     0.01,
	}
}

func defaultLimits() Limits {
	return Limits{
		MaxBodyBytes:      4 * mib,
		MaxHeaderBytes:    32 * kib,
		MaxOperatorBytes:  1 * mib,
		MaxPeerBytes:      16 * mib,
		MaxConnections:    4000,
		MaxRequests:       2000,
		ReadHeaderTimeout: seconds(5),
		ReadTimeout:       seconds(30),
		WriteTimeout:      seconds(120),
		IdleTimeout:       seconds(60),
		MaxRequestTimeout: seconds(90),
		PeerTimeout:       seconds(2),
	}
}

func seconds(n int) Duration {
	return Duration(time.Duration(n) * time.Second)
}
