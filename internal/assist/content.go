package assist

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
)

// Bounds of deliveries of content to standbys.
const (
	// contentEvery is the time between two deliveries of content: what a job's
	// records say is out of date several times a second, and only the newest is
	// sent. A standby that comes to lead reads the rest from the store.
	contentEvery = time.Second
	// contentShare is the share of the leader's link for all content.
	contentShare   = 0.08
	contentTimeout = 2 * time.Second
	// keptRecords and keptBytes bound what is kept for standbys that are
	// behind, which otherwise read the store: what the leader clears up in
	// one append, up to 2,000 jobs with four records each, and some seconds of
	// other records.
	keptRecords = 10_000
	keptBytes   = 4 << 20
	// sentRecords and sentBytes bound what one delivery brings, so that it arrives
	// within contentTimeout on a thin link.
	sentRecords = 2000
	sentBytes   = 256 << 10
)

// ContentDelivery brings the content of records to a standby.
type ContentDelivery struct {
	_       struct{} `cbor:",toarray"`
	Leader  leader.Leader
	Span    replica.Span
	Records []ContentRecord // the newest of each key that was written in the span
}

// ContentRecord is a record with its place.
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

// nextContent returns the content that a standby should be sent now, if any.
func (p *Publisher) nextContent(node api.NodeID, now time.Time) (ContentDelivery, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(node)
	end := p.end()
	if !p.standbys[node] || !t.whole || t.contentBusy || now.Sub(t.contentSent) < contentEvery || t.content < p.first || t.content >= end {
		return ContentDelivery{}, false
	}
	records := p.records[t.content-p.first:]
	most := sentBytes
	if p.cfg.LinkBytesPerSecond > 0 {
		most = min(most, p.budget.Burst())
	}
	n, size := fitting(records, most)
	if !p.budget.AllowN(now, min(size, p.budget.Burst())) {
		return ContentDelivery{}, false
	}
	t.contentBusy = true
	t.contentSent = now
	span := replica.Span{From: t.content, To: t.content + platform.Offset(n)}
	return ContentDelivery{Leader: p.cfg.Self, Span: span, Records: packContent(newestOfKeys(records[:n]))}, true
}

// fitting returns how many of the first records fit into some bytes, at least one,
// where only the newest of each key counts, and their size.
func fitting(records []platform.Record, most int) (n, size int) {
	sizes := make(map[string]int)
	for i, r := range records {
		grown := size + r.Size() - sizes[r.Key]
		if i > 0 && (len(sizes) == sentRecords || grown > most) {
			return i, size
		}
		size = grown
		sizes[r.Key] = r.Size()
	}
	return len(records), size
}

// newestOfKeys returns the newest record of each key, in the order of offsets.
func newestOfKeys(records []platform.Record) []platform.Record {
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
	answer, known := p.call(ctx, p.cfg.BulkCaller, m, methodContent, &c)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.target(m.Node)
	t.contentBusy = false
	if !known {
		return
	}
	t.content = answer.ContentPosition
	t.whole = answer.HasContent
}
