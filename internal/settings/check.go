package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/logging"
)

const (
	allowedName    = "1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'"
	allowedAddress = "IP:port, without host names"
	allowedURL     = "http://IP:port or https://IP:port, without host names"
	maxDrift       = 0.2
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// check adds a finding to l for every invalid setting.
func (s *Settings) check(l *finding.List) {
	s.checkIdentity(l)
	s.checkAddresses(l)
	s.checkPlatform(l)
	s.checkJournal(l)
	s.checkHold(l)
	s.checkLimits(l)
	allowed := "one of " + strings.Join(logging.Levels, ", ")
	l.Check(slices.Contains(logging.Levels, s.LogLevel), "log_level", s.LogLevel, allowed)
	checkDurationRange(l, "drain_deadline", s.DrainDeadline, time.Second, time.Hour)
	checkDurationRange(l, "readiness_delay", s.ReadinessDelay, time.Millisecond, s.DrainDeadline.Std())
	checkDurationRange(l, "request_retention", s.RequestRetention, time.Minute, 7*24*time.Hour)
}

func (s *Settings) checkIdentity(l *finding.List) {
	l.Check(namePattern.MatchString(string(s.NodeID)), "node_id", s.NodeID, allowedName)
	l.Check(namePattern.MatchString(string(s.DataCentre)), "data_centre", s.DataCentre, allowedName)
	for i, dc := range s.DataCentres {
		path := fmt.Sprintf("data_centres[%d]", i)
		l.Check(namePattern.MatchString(string(dc)), path, dc, allowedName)
		l.Check(slices.Index(s.DataCentres, dc) == i, path, dc, "each data centre once")
	}
	l.Check(slices.Contains(s.DataCentres, s.DataCentre), "data_centres", s.DataCentres, "a list that contains data_centre")
}

func (s *Settings) checkAddresses(l *finding.List) {
	listeners := []struct{ path, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.operators", s.Listen.Operators},
		{"listen.peers", s.Listen.Peers},
	}
	for i, a := range listeners {
		checkAddress(l, a.path, a.value)
		for _, earlier := range listeners[:i] {
			l.Check(a.value == "" || a.value != earlier.value, a.path, a.value, "an address other than "+earlier.path)
		}
	}
	if ap, ok := checkAddress(l, "advertise_peer", s.AdvertisePeer); ok {
		l.Check(!ap.Addr().IsUnspecified(), "advertise_peer", s.AdvertisePeer, "an IP that peers can reach; set it when listen.peers is unspecified")
	}
	for i, p := range s.Peers {
		checkAddress(l, fmt.Sprintf("peers[%d]", i), p)
	}
}

func (s *Settings) checkPlatform(l *finding.List) {
	l.Check(len(s.Log.URLs) > 0, "log.urls", nil, "at least one URL")
	for i, u := range s.Log.URLs {
		checkURL(l, fmt.Sprintf("log.urls[%d]", i), u)
	}
	checkDurationRange(l, "log.append_timeout", s.Log.AppendTimeout, 10*time.Millisecond, time.Minute)
	checkDurationRange(l, "log.read_timeout", s.Log.ReadTimeout, 10*time.Millisecond, time.Minute)
	checkDurationRange(l, "log.read_wait", s.Log.ReadWait, 0, time.Minute)
	checkDurationRange(l, "log.retry_min", s.Log.RetryMin, time.Millisecond, time.Minute)
	checkDurationRange(l, "log.retry_max", s.Log.RetryMax, s.Log.RetryMin.Std(), time.Minute)
	checkIntRange(l, "log.read_records", int64(s.Log.ReadRecords), 1, 100_000)
	checkURL(l, "vm_list.url", s.VMList.URL)
	checkDurationRange(l, "vm_list.interval", s.VMList.Interval, 100*time.Millisecond, time.Minute)
	checkDurationRange(l, "vm_list.timeout", s.VMList.Timeout, 10*time.Millisecond, time.Minute)
}

func (s *Settings) checkJournal(l *finding.List) {
	j := s.Journal
	checkIntRange(l, "journal.batch_bytes", int64(j.BatchBytes), 128*kib, 64*mib)
	checkIntRange(l, "journal.backlog_bytes", int64(j.BacklogBytes), int64(j.BatchBytes), 1024*mib)
	checkIntRange(l, "journal.snapshot_records", int64(j.SnapshotRecords), 10, 10_000_000)
	checkDurationRange(l, "journal.batch_delay", j.BatchDelay, 0, time.Second)
	checkDurationRange(l, "journal.snapshot_interval", j.SnapshotInterval, time.Second, 24*time.Hour)
	l.Check(j.AppendsPerSecond > 0 && j.AppendsPerSecond <= 100_000, "journal.appends_per_second", j.AppendsPerSecond, "more than 0, at most 100000")
}

func (s *Settings) checkHold(l *finding.List) {
	h := s.Hold
	checkDurationRange(l, "hold.heartbeat", h.Heartbeat, 10*time.Millisecond, time.Minute)
	checkDurationRange(l, "hold.hold", h.Hold, 2*h.Heartbeat.Std(), 10*time.Minute)
	checkDurationRange(l, "hold.lease", h.Lease, 2*h.Heartbeat.Std(), time.Hour)
	l.Check(h.Drift >= 0 && h.Drift <= maxDrift, "hold.drift", h.Drift, fmt.Sprintf("0 to %v", maxDrift))
}

func (s *Settings) checkLimits(l *finding.List) {
	m := s.Limits
	checkIntRange(l, "limits.max_body_bytes", m.MaxBodyBytes, 1*kib, 1024*mib)
	checkIntRange(l, "limits.max_header_bytes", int64(m.MaxHeaderBytes), 1*kib, 1*mib)
	checkIntRange(l, "limits.max_operator_bytes", m.MaxOperatorBytes, 1*kib, 64*mib)
	checkIntRange(l, "limits.max_peer_bytes", m.MaxPeerBytes, m.MaxBodyBytes, 2048*mib)
	checkIntRange(l, "limits.max_connections", int64(m.MaxConnections), 1, 1_000_000)
	checkIntRange(l, "limits.max_requests", int64(m.MaxRequests), 1, 1_000_000)
	l.Check(m.MemoryBytes == 0 || m.MemoryBytes >= 16*mib, "limits.memory_bytes", m.MemoryBytes, "0 (none) or at least 16777216")
	checkDurationRange(l, "limits.read_header_timeout", m.ReadHeaderTimeout, 100*time.Millisecond, time.Minute)
	checkDurationRange(l, "limits.read_timeout", m.ReadTimeout, m.ReadHeaderTimeout.Std(), time.Hour)
	checkDurationRange(l, "limits.max_request_timeout", m.MaxRequestTimeout, 100*time.Millisecond, time.Hour)
	checkDurationRange(l, "limits.write_timeout", m.WriteTimeout, m.MaxRequestTimeout.Std(), 2*time.Hour)
	checkDurationRange(l, "limits.idle_timeout", m.IdleTimeout, time.Second, time.Hour)
	checkDurationRange(l, "limits.peer_timeout", m.PeerTimeout, 10*time.Millisecond, time.Minute)
}

// checkDurationRange adds a finding unless low <= d <= high.
func checkDurationRange(l *finding.List, path string, d Duration, low, high time.Duration) {
	ok := d.Std() >= low && d.Std() <= high
	l.Check(ok, path, d, fmt.Sprintf("%v to %v", low, high))
}

// checkIntRange adds a finding unless low <= n <= high.
func checkIntRange(l *finding.List, path string, n, low, high int64) {
	l.Check(n >= low && n <= high, path, n, fmt.Sprintf("%d to %d", low, high))
}

// checkAddress parses text and adds a finding unless it is an IP:port with a
// non-zero port.
func checkAddress(l *finding.List, path, text string) (netip.AddrPort, bool) {
	ap, err := netip.ParseAddrPort(text)
	ok := err == nil && ap.Port() != 0
	l.Check(ok, path, text, allowedAddress)
	return ap, ok
}

// checkURL adds a finding unless text is an HTTP or HTTPS URL whose host is an
// IP:port.
func checkURL(l *finding.List, path, text string) {
	u, err := url.Parse(text)
	if err != nil {
		l.Add(path, text, allowedURL)
		return
	}
	_, hostErr := netip.ParseAddrPort(u.Host)
	ok := hostErr == nil && (u.Scheme == "http" || u.Scheme == "https") && u.User == nil
	l.Check(ok, path, text, allowedURL)
}
