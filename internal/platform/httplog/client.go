package httplog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Defaults of Config.
const (
	DefaultConnectTimeout = time.Second
	DefaultMaxReadBytes   = 4 << 20
	DefaultMaxConnections = 8
)

// Limits on the size of answers.
const (
	maxSmallAnswerBytes = 4 << 10  // answer to an append, or an error
	readOverheadBytes   = 64 << 10 // size of the answer to a read besides its records
)

// Config holds the settings of a Client. Zero fields take their defaults.
type Config struct {
	BaseURL        string        // for example http://127.0.0.1:7000
	ConnectTimeout time.Duration // limits the time to open a TCP connection
	MaxReadBytes   int           // maximum size of the records in one read
	MaxConnections int           // maximum number of connections to the log
}

// Client implements platform.Log. It never retries a request.
type Client struct {
	cfg       Config
	base      *url.URL
	transport *http.Transport
}

var _ platform.Log = (*Client)(nil)

// NewClient returns a client of the log at cfg.BaseURL. If cfg is invalid, it fails
// with a *finding.List.
func NewClient(cfg Config) (*Client, error) {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.MaxReadBytes == 0 {
		cfg.MaxReadBytes = DefaultMaxReadBytes
	}
	if cfg.MaxConnections == 0 {
		cfg.MaxConnections = DefaultMaxConnections
	}
	var l finding.List
	base, err := url.Parse(cfg.BaseURL)
	l.Check(err == nil && base.Scheme == "http" && base.Host != "", "base_url", cfg.BaseURL, "an http URL")
	l.Check(cfg.ConnectTimeout > 0, "connect_timeout", cfg.ConnectTimeout, "above zero")
	l.Check(cfg.MaxReadBytes > 0, "max_read_bytes", cfg.MaxReadBytes, "above zero")
	if err := l.Err(); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     cfg.MaxConnections,
		MaxIdleConnsPerHost: cfg.MaxConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{cfg: cfg, base: base, transport: transport}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Append implements platform.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	req, err := http.NewRequest(http.MethodPost, c.url(stream, nil), newBody(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	req.ContentLength = int64(len(data))
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil && !connected {
		return 0, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %v", platform.ErrUncertain, err)
	}
	defer resp.Body.Close()
	return appendAnswer(resp)
}

// appendAnswer returns the result of an append from its answer.
func appendAnswer(resp *http.Response) (platform.Offset, error) {
	refused := resp.Header.Get(HeaderRefused) == "true"
	switch {
	case refused && resp.StatusCode == http.StatusRequestEntityTooLarge:
		return 0, platform.ErrTooLarge
	case refused:
		return 0, fmt.Errorf("%w: status %d", platform.ErrUnavailable, resp.StatusCode)
	case resp.StatusCode != http.StatusOK:
		return 0, fmt.Errorf("%w: status %d", platform.ErrUncertain, resp.StatusCode)
	}
	var answer AppendAnswer
	body, err := readBounded(resp.Body, maxSmallAnswerBytes)
	if err == nil {
		err = json.Unmarshal(body, &answer)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: answer: %v", platform.ErrUncertain, err)
	}
	return platform.Offset(answer.Offset), nil
}

// Read implements platform.Log.
func (c *Client) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (platform.LogBatch, error) {
	query := url.Values{}
	query.Set(ParamFrom, strconv.FormatUint(uint64(from), 10))
	query.Set(ParamMax, strconv.Itoa(max))
	query.Set(ParamMaxBytes, strconv.Itoa(c.cfg.MaxReadBytes))
	query.Set(ParamWaitMs, strconv.FormatInt(wait.Milliseconds(), 10))
	batch, err := c.read(ctx, c.url(stream, query))
	var trimmed *platform.TrimmedError
	if err != nil && !errors.As(err, &trimmed) {
		return batch, fmt.Errorf("%w: %v", platform.ErrUnavailable, err)
	}
	return batch, err
}

func (c *Client) read(ctx context.Context, address string) (platform.LogBatch, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return platform.LogBatch{}, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return platform.LogBatch{}, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return c.readAnswer(resp.Body)
	case http.StatusGone:
		return platform.LogBatch{}, trimmedAnswer(resp.Body)
	default:
		return platform.LogBatch{}, fmt.Errorf("status %d", resp.StatusCode)
	}
}

// readAnswer decodes the answer to a read.
func (c *Client) readAnswer(body io.Reader) (platform.LogBatch, error) {
	data, err := readBounded(body, 2*c.cfg.MaxReadBytes+readOverheadBytes)
	if err != nil {
		return platform.LogBatch{}, err
	}
	var answer ReadAnswer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		return platform.LogBatch{}, err
	}
	batch := platform.LogBatch{First: platform.Offset(answer.First), Next: platform.Offset(answer.Next)}
	batch.Records = make([]platform.LogRecord, len(answer.Records))
	for i, rec := range answer.Records {
		batch.Records[i] = platform.LogRecord{Offset: platform.Offset(rec.Offset), Data: rec.Data}
	}
	return batch, nil
}

// trimmedAnswer decodes the error of a read below the oldest retained offset.
func trimmedAnswer(body io.Reader) error {
	data, err := readBounded(body, maxSmallAnswerBytes)
	if err != nil {
		return err
	}
	var answer TrimmedAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return err
	}
	return &platform.TrimmedError{From: platform.Offset(answer.From), First: platform.Offset(answer.First)}
}

func (c *Client) url(stream string, query url.Values) string {
	u := c.base.JoinPath(RecordsPath(stream))
	u.RawQuery = query.Encode()
	return u.String()
}

// errAnswerTooLong is returned when an answer exceeds its size limit.
var errAnswerTooLong = errors.New("answer too long")

// readBounded reads all of body. It fails if that is more than limit bytes.
func readBounded(body io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, errAnswerTooLong
	}
	return data, nil
}
