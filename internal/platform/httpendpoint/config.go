package httpendpoint

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/finding"
)

// Defaults of Config.
const (
	DefaultDialTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
)

// Config holds the settings of a Client. Zero fields take their defaults.
type Config struct {
	DialTimeout    time.Duration // limits the time to open a TCP connection
	IdleTimeout    time.Duration // after which an idle connection is closed
	MaxHeaderBytes int64         // maximum size of the headers of an answer
}

// withDefaults returns c with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	defaults.Set(&c.DialTimeout, DefaultDialTimeout)
	defaults.Set(&c.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	return c
}

// Validate adds the invalid fields of c to findings. The paths of the fields start with
// path.
func (c Config) Validate(path string, findings *finding.List) {
	findings.Check(c.DialTimeout >= 0, path+".dial_timeout", c.DialTimeout, "a duration that is not negative")
	findings.Check(c.IdleTimeout >= 0, path+".idle_timeout", c.IdleTimeout, "a duration that is not negative")
	findings.Check(c.MaxHeaderBytes >= 0, path+".max_header_bytes", c.MaxHeaderBytes, "a size that is not negative")
}
