package assist

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// Limits of content deliveries to standbys.
const (
	// contentInterval is the time between two deliveries of content. A job's records are
	// replaced several times a second, and only the newest is sent. A standby that becomes
	// leader reads the rest from the store.
	contentInterval = time.Second
	// contentLinkShare is the share of the leader's link that all content deliveries may use.
	contentLinkShare = 0.08
	contentTimeout   = 2 * time.Second
	// maxKeptRecords and maxKeptBytes bound what is kept for standbys that lag behind; a
	// standby that lags further reads the store. They cover the largest cleanup append of
	// the leader, up to 2,000 jobs with four records each, and some seconds of other records.
	maxKeptRecords = 10_000
	maxKeptBytes   = 4 << 20
	// maxDeliveryRecords and maxDeliveryBytes bound one delivery, so that it arrives within
	// contentTimeout on a slow link.
	maxDeliveryRecords = 2000
	maxDeliveryBytes   = 256 << 10
)

// ContentDelivery brings the content of records to a standby.
type ContentDelivery struct {
	_       struct{} `cbor:",toarray"`
	Leader  leader.Leader
	Span    replica.Span
	Records []ContentRecord // the newest record of each key that was written in the span
}

// ContentRecord is a record with its offset.
type ContentRecord struct {
	_      struct{} `cbor:",toarray"`
	Offset platform.Offset
	Key    string
	Value  []byte
}

func packContent(records []platform.Record) []ContentRecord {
	out := make([]ContentRecord, len(records))
	for i, r := range records {
		out[i] = ContentRecord{Offset: r.Offset, Key: r.Key, Value: r.Value}
	}
	return out
}

func unpackContent(records []ContentRecord) []platform.Record {
	out := make([]platform.Record, len(records))
	for i, r := range records {
		out[i] = platform.Record{Offset: r.Offset, Key: r.Key, Value: r.Value}
	}
	return out
}

// nextContent returns the content that is due for a standby, if any.
func (p *Publisher) nextContent(node api.NodeID, now time.Time) (ContentDelivery, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(node)
	end := p.end()
	if !p.standbys[node] || !t.hasContent || t.contentInFlight || now.Sub(t.lastContentDelivery) < contentInterval || t.contentPosition < p.firstOffset || t.contentPosition >= end {
		return ContentDelivery{}, false
	}
	records := p.records[t.contentPosition-p.firstOffset:]
	maxBytes := maxDeliveryBytes
	if p.cfg.LinkBytesPerSecond > 0 {
		maxBytes = min(maxBytes, p.contentLimiter.Burst())
	}
	n, size := countFitting(records, maxBytes)
	if !p.contentLimiter.AllowN(now, min(size, p.contentLimiter.Burst())) {
		return ContentDelivery{}, false
	}
	t.contentInFlight = true
	t.lastContentDelivery = now
	span := replica.Span{From: t.contentPosition, To: t.contentPosition + platform.Offset(n)}
	return ContentDelivery{Leader: p.cfg.Self, Span: span, Records: packContent(latestPerKey(records[:n]))}, true
}

// countFitting returns how many of the first records fit into maxBytes, but at least one, and
// their size. Only the newest record of each key counts.
func countFitting(records []platform.Record, maxBytes int) (n, size int) {
	sizes := make(map[string]int)
	for i, r := range records {
		grown := size + r.Size() - sizes[r.Key]
		if i > 0 && (len(sizes) == maxDeliveryRecords || grown > maxBytes) {
			return i, size
		}
		size = grown
		sizes[r.Key] = r.Size()
	}
	return len(records), size
}

// latestPerKey returns the newest record of each key, ordered by offset.
func latestPerKey(records []platform.Record) []platform.Record {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	out := make([]platform.Record, 0, len(last))
	for i, r := range records {
		if last[r.Key] == i {
			out = append(out, r)
		}
	}
	return out
}

func (p *Publisher) deliverContent(ctx context.Context, m Attachment, c ContentDelivery) {
	ctx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	answer, ok := p.call(ctx, p.cfg.BulkCaller, m, methodContent, &c)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(m.Node)
	t.contentInFlight = false
	if !ok {
		return
	}
	t.contentPosition = answer.ContentPosition
	t.hasContent = answer.HasContent
}
