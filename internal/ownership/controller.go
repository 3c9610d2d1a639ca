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

// Config is what a Controller works with.
type Config struct {
	Self           Identity
	Address        string        // IP:port of this process's peer service
	Timing         Timing        // zero fields take their defaults
	Limits         PlanLimits    // the zero value takes the defaults
	PlanInterval   time.Duration // longest time between two plans; zero takes the default
	ProposeTimeout time.Duration // longest wait for an entry to be read back; zero takes the default

	Machine  *StateMachine
	Proposer journal.Proposer
	Follower journal.Follower

	// Health returns what the heartbeats say of the other members; nil when
	// there are none.
	Health func(now time.Time) map[api.NodeID]Health
	// Unlisted returns for how long the platform's VM list has lacked each
	// node that it lacks; nil when there is no list.
	Unlisted func(now time.Time) map[api.NodeID]time.Duration
	// InFlight returns the most requests that this process has in flight at
	// any one endpoint of a shard, and for Cell whether a placement is on its
	// way (0 or 1); nil means none. A user of a shard must count itself
	// before it asks for authority, so that it is seen here or sees that the
	// shard is closed.
	InFlight func(Shard) int
	// StopNewUse is called before InFlight is asked, after the use of the
	// shards was stopped: when it returns, nothing new starts for them. Nil
	// means that this holds at once.
	StopNewUse func()

	Now    func() time.Time // nil means time.Now
	Logger *logrus.Entry    // nil means the standard logger
}

// withDefaults fills what is zero.
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

// Controller proposes what Plan decides and answers what this process may do.
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

// NewController returns a controller; Run makes it work.
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

// Vars returns the counters: entries proposed and how they ended.
func (c *Controller) Vars() *expvar.Map { return c.vars }

// Run plans until ctx ends and returns the context's error.
func (c *Controller) Run(ctx context.Context) error {
	var proposals sync.WaitGroup
	defer proposals.Wait()
	ticker := time.NewTicker(c.cfg.PlanInterval)
	defer ticker.Stop()
	for {
		for _, action := range c.plan() {
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

// plan observes the table, carries out what is local and returns the rest.
func (c *Controller) plan() []Action {
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
	return c.carryOut(Plan(now, view))
}

// observe notes what the table shows at now and returns a copy of it.
func (c *Controller) observe(now time.Time) *Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	confirmed := c.cfg.Follower.ConfirmedAt()
	table := c.table()
	c.evidence.ConfirmedAt = confirmed
	c.evidence.Observe(table, now)
	c.noteLeft(table)
	return table
}

// inFlight returns what is in flight for the shards that may be given up. It
// is called after their use was stopped, and without a lock, because
// Config.InFlight takes locks of its own.
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

// table returns a copy of the table.
func (c *Controller) table() *Table {
	var table *Table
	c.cfg.Machine.View(func(t *Table) { table = t.Clone() })
	return table
}

// noteLeft ends Drain when the process is out of the roster. c.mu is held.
func (c *Controller) noteLeft(t *Table) {
	if !c.draining || t.IsMember(c.cfg.Self) {
		return
	}
	select {
	case <-c.left:
	default:
		close(c.left)
	}
}

// carryOut does the closing and returns the actions to propose now. c.mu is
// held.
func (c *Controller) carryOut(actions []Action) []Action {
	var rest []Action
	for _, action := range actions {
		switch a := action.(type) {
		case Close:
			c.close(a)
			continue
		case Claim:
			if c.proposing[TypeClaim] {
				continue
			}
			c.noteClaiming(a)
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

// close stops the local use of shards. c.mu is held.
func (c *Controller) close(a Close) {
	for _, at := range a.Shards {
		c.evidence.ClosedEpochs[at.Shard] = at.Epoch
	}
	c.wakeUp()
}

// noteClaiming notes the shards of a claim under way, so that no grant is
// given to their holder. A claim that lands after its proposer gave up waiting
// is safe too: its wait starts when it is read back, and from then on the
// holder gets no grant. c.mu is held.
func (c *Controller) noteClaiming(a Claim) {
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
		c.settle(entry.Type, action, err)
	})
}

// settle notes how a proposal ended.
func (c *Controller) settle(kind journal.EntryType, action Action, err error) {
	c.mu.Lock()
	delete(c.proposing, kind)
	if kind == TypeClaim {
		clear(c.evidence.PendingClaims)
	}
	c.mu.Unlock()
	c.count(action, err)
	c.wakeUp()
}

// count counts and logs how a proposal ended.
func (c *Controller) count(action Action, err error) {
	name := actionName(action)
	c.vars.Add(name+"_"+outcomeName(err), 1)
	entry := c.cfg.Logger.WithField("entry", name)
	if err != nil {
		entry.WithError(err).Info("ownership entry not applied")
		return
	}
	entry.Info("ownership entry applied")
}

// outcomeName names a proposal's outcome for the counters.
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

// wakeUp makes Run plan at once.
func (c *Controller) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Drain stops the use of every shard, hands them over, and leaves the roster
// once nothing is in flight. It returns nil when the process has left, or the
// context's error. Run must be running.
func (c *Controller) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.wakeUp()
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
