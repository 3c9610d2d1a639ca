package ownership

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Defaults of Config.
const (
	DefaultPlanInterval   = 100 * time.Millisecond
	DefaultProposeTimeout = 2 * time.Second
)

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Self           Identity
	Address        string        // IP:port of this process's peer service
	Timing         Timing        // zero fields get the defaults
	Limits         PlanLimits    // the zero value gets the defaults
	PlanInterval   time.Duration // maximum time between two calls of Plan; zero gets the default
	ProposeTimeout time.Duration // maximum wait for an entry to be read back; zero gets the default

	Machine  *StateMachine
	Proposer journal.Proposer
	Follower journal.Follower

	// Health returns the health of the other members according to the
	// heartbeats. Nil means that there are no heartbeats.
	Health func(now time.Time) map[api.NodeID]Health
	// Unlisted returns each node missing from the platform's VM list and how
	// long it has been missing. Nil means that there is no list.
	Unlisted func(now time.Time) map[api.NodeID]time.Duration
	// InFlight returns the maximum number of requests that this process has in
	// flight at any one endpoint of a shard, and for Cell whether a placement
	// is in progress (0 or 1). Nil means none. A user of a shard must count
	// itself before it checks its authority, so that it is either included
	// here or sees that the shard is closed.
	InFlight func(Shard) int
	// StopNewUse is called after shards were closed and before InFlight is
	// called. Once it returns, nothing new starts for these shards. Nil means
	// that nothing new starts from the moment of closing.
	StopNewUse func()

	Now    func() time.Time // nil means time.Now
	Logger *logrus.Entry    // nil means the standard logger
}

// withDefaults returns c with the zero fields set to their defaults.
func (c Config) withDefaults() Config {
	defaults.Set(&c.Timing.HoldDuration, DefaultHoldDuration)
	defaults.Set(&c.Timing.MaxSendDelay, DefaultMaxSendDelay)
	defaults.Set(&c.Timing.MaxClockDrift, DefaultMaxClockDrift)
	if c.Limits == (PlanLimits{}) {
		c.Limits = DefaultPlanLimits()
	}
	defaults.Set(&c.PlanInterval, DefaultPlanInterval)
	defaults.Set(&c.ProposeTimeout, DefaultProposeTimeout)
	if c.Unlisted == nil {
		c.Unlisted = func(time.Time) map[api.NodeID]time.Duration { return nil }
	}
	if c.Health == nil {
		c.Health = func(time.Time) map[api.NodeID]Health { return nil }
	}
	if c.InFlight == nil {
		c.InFlight = func(Shard) int { return 0 }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	return c
}

// Controller proposes the actions of Plan and reports what this process may do
// with each shard.
type Controller struct {
	cfg  Config
	vars *expvar.Map
	wake chan struct{}

	mu        sync.RWMutex // taken before the machine's lock
	evidence  *Evidence
	draining  bool
	left      chan struct{} // closed when the process has left the roster
	proposing map[journal.EntryType]bool
}

// NewController returns a controller that is started by Run.
func NewController(cfg Config) *Controller {
	return &Controller{
		cfg:       cfg.withDefaults(),
		vars:      new(expvar.Map).Init(),
		wake:      make(chan struct{}, 1),
		evidence:  NewEvidence(cfg.Self),
		left:      make(chan struct{}),
		proposing: make(map[journal.EntryType]bool),
	}
}

// Vars returns the counters of proposed entries by outcome.
func (c *Controller) Vars() *expvar.Map { return c.vars }

// Run plans and proposes until ctx ends, and returns the context's error.
func (c *Controller) Run(ctx context.Context) error {
	var proposals sync.WaitGroup
	defer proposals.Wait()
	ticker := time.NewTicker(c.cfg.PlanInterval)
	defer ticker.Stop()
	for {
		for _, action := range c.nextActions() {
			c.propose(ctx, &proposals, action)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-c.wake:
		case <-c.cfg.Machine.Changed():
		}
	}
}

// nextActions observes the table, plans, applies the local actions and returns
// the actions to propose.
func (c *Controller) nextActions() []Action {
	now := c.cfg.Now()
	health := c.cfg.Health(now)
	unlisted := c.cfg.Unlisted(now)
	table := c.observe(now)
	inFlight := c.inFlight(table)
	c.mu.Lock()
	defer c.mu.Unlock()
	view := PlanInput{
		Table: table, Evidence: c.evidence, Timing: c.cfg.Timing, Limits: c.cfg.Limits,
		Address: c.cfg.Address, Draining: c.draining,
		Health: health, Unlisted: unlisted, InFlight: inFlight,
	}
	return c.applyLocalActions(Plan(now, view))
}

// observe records what the table shows at now and returns a copy of it.
func (c *Controller) observe(now time.Time) *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmed := c.cfg.Follower.ConfirmedAt()
	table := c.copyTable()
	c.evidence.ConfirmedAt = confirmed
	c.evidence.Observe(table, now)
	c.signalLeft(table)
	return table
}

// inFlight returns what is in flight for each releasable shard. It is called
// after these shards were closed, and without a lock, because Config.InFlight
// takes locks of its own.
func (c *Controller) inFlight(t *Table) map[Shard]int {
	c.mu.RLock()
	shards := releasable(t, c.evidence)
	c.mu.RUnlock()
	if len(shards) > 0 && c.cfg.StopNewUse != nil {
		c.cfg.StopNewUse()
	}
	counts := make(map[Shard]int, len(shards))
	for _, s := range shards {
		counts[s] = c.cfg.InFlight(s)
	}
	return counts
}

// copyTable returns a copy of the table.
func (c *Controller) copyTable() *Table {
	var table *Table
	c.cfg.Machine.View(func(t *Table) { table = t.Clone() })
	return table
}

// signalLeft ends Drain when the process is no longer in the roster. The caller
// holds c.mu.
func (c *Controller) signalLeft(t *Table) {
	if !c.draining || t.IsMember(c.cfg.Self) {
		return
	}
	select {
	case <-c.left:
	default:
		close(c.left)
	}
}

// applyLocalActions closes shards and returns the actions to propose now. The
// caller holds c.mu.
func (c *Controller) applyLocalActions(actions []Action) []Action {
	var rest []Action
	for _, action := range actions {
		switch a := action.(type) {
		case Close:
			c.closeShards(a)
			continue
		case Claim:
			if c.proposing[TypeClaim] {
				continue
			}
			c.addPendingClaim(a)
		}
		entry, _ := entryOf(action)
		if c.proposing[entry.Type] {
			continue
		}
		c.proposing[entry.Type] = true
		rest = append(rest, action)
	}
	return rest
}

// closeShards stops the local use of shards. The caller holds c.mu.
func (c *Controller) closeShards(a Close) {
	for _, at := range a.Shards {
		c.evidence.ClosedEpochs[at.Shard] = at.Epoch
	}
	c.triggerPlan()
}

// addPendingClaim records the shards of a claim that is being proposed, so that
// their holder gets no grant. A claim that is appended after its proposal has
// timed out is safe too: its takeover wait starts when it is read back, and from
// then on the former holder gets no grant. The caller holds c.mu.
func (c *Controller) addPendingClaim(a Claim) {
	for _, at := range a.Shards {
		c.evidence.PendingClaims[at.Shard] = true
	}
}

// propose proposes one action in the background.
func (c *Controller) propose(ctx context.Context, group *sync.WaitGroup, action Action) {
	entry, _ := entryOf(action)
	group.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, c.cfg.ProposeTimeout)
		defer cancel()
		err := c.cfg.Proposer.Propose(callCtx, entry)
		c.finishProposal(entry.Type, action, err)
	})
}

// finishProposal handles the outcome of a proposal.
func (c *Controller) finishProposal(kind journal.EntryType, action Action, err error) {
	c.mu.Lock()
	delete(c.proposing, kind)
	if kind == TypeClaim {
		clear(c.evidence.PendingClaims)
	}
	c.mu.Unlock()
	c.recordOutcome(action, err)
	c.triggerPlan()
}

// recordOutcome counts and logs the outcome of a proposal.
func (c *Controller) recordOutcome(action Action, err error) {
	name := actionName(action)
	c.vars.Add(name+"_"+outcomeName(err), 1)
	entry := c.cfg.Logger.WithField("entry", name)
	if err != nil {
		entry.WithError(err).Info("ownership entry not applied")
		return
	}
	entry.Info("ownership entry applied")
}

// outcomeName returns the name of a proposal's outcome for the counters.
func outcomeName(err error) string {
	switch {
	case err == nil:
		return "applied"
	case errors.Is(err, journal.ErrNotWritten):
		return "not_written"
	case errors.Is(err, journal.ErrUnsettled):
		return "unsettled"
	default:
		return "rejected"
	}
}

// triggerPlan makes Run plan immediately.
func (c *Controller) triggerPlan() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Drain closes and releases every shard, and leaves the roster once nothing is
// in flight. It returns nil after the process has left, or the context's error.
// It works only while Run is running.
func (c *Controller) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.triggerPlan()
	select {
	case <-c.left:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Draining reports whether Drain was called.
func (c *Controller) Draining() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.draining
}
