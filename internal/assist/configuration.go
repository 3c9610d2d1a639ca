package assist

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

// ConfigurationRequest asks a machine for a configuration newer than a version.
type ConfigurationRequest struct {
	_         struct{} `cbor:",toarray"`
	NewerThan uint64
}

// ConfigurationAnswer is what the machine knows of the configuration.
type ConfigurationAnswer struct {
	_      struct{} `cbor:",toarray"`
	Record []byte   // empty: none newer is known
	Age    time.Duration
}

// Configuration answers a machine that can't read the configuration from the store.
func (h *Handler) Configuration(request *ConfigurationRequest, reply *ConfigurationAnswer) error {
	r := h.NewestConfiguration(request.NewerThan)
	reply.Record, reply.Age = r.Record, r.Age
	return nil
}

// AskConfiguration asks the machine at the given address for a configuration newer than a version.
func AskConfiguration(ctx context.Context, c Caller, address string, newerThan uint64) (queue.Reading, error) {
	var answer ConfigurationAnswer
	err := c.Call(ctx, address, methodConfiguration, &ConfigurationRequest{NewerThan: newerThan}, &answer)
	return queue.Reading{Record: answer.Record, Age: answer.Age}, err
}
