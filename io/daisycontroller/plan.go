package daisycontroller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

const (
	// planPrefix is the prefix of the key of a plan's row; the id follows.
	planPrefix = "plan/"
	// intentPrefix is the prefix of an intent's object name; the hash follows.
	intentPrefix = "intent/"
	// planTimeout is the timeout of an operator's operation on plans.
	planTimeout = 10 * time.Second
	// planDateLayout is the layout of the date in a plan's id, and planTimeLayout that of
	// the date and time.
	planDateLayout = "20060102"
	planTimeLayout = planDateLayout + "-150405"
)

// PlanOptions are the dependencies and settings of a Plan controller.
type PlanOptions struct {
	Self     daisyvm.VM
	Platform daisyplatform.Platform
	Config   *Config
	Logger   hclog.Logger
	// Seed and the name of the VM together make the random parts of plan ids reproducible.
	Seed uint64
}

// Plan manages operators' plans. They are stored on the platform, so that any VM can
// show, confirm and discard each of them.
type Plan struct {
	options PlanOptions
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// writtenRows caches the rows that this VM wrote, because later reads may lag behind.
	writtenRows map[daisyplan.ID]planRow
}

// planRow is the row of a plan, with the version that it was read or written at.
type planRow struct {
	record  daisyplan.Record
	version daisyplatform.Version
}

var _ Controller = (*Plan)(nil)

// NewPlan returns a controller for plans.
func NewPlan(options PlanOptions) *Plan {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	c := &Plan{
		options:     options,
		random:      newRandom(options.Seed, options.Self.Name),
		writtenRows: make(map[daisyplan.ID]planRow),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *Plan) controller() {}

// Close cancels the operations in progress and waits for them.
func (c *Plan) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
}

// startOperation starts an operation. The returned context ends with ctx, after
// planTimeout or on Close; the returned function must be called at the end of the
// operation. It fails with daisyerror.Closed after Close.
func (c *Plan) startOperation(ctx context.Context) (context.Context, func(), error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return nil, nil, daisyerror.Closed.New("plans are closed")
	}
	c.wg.Add(1)
	operationCtx, cancel := context.WithTimeout(ctx, planTimeout)
	stop := context.AfterFunc(c.ctx, cancel)
	return operationCtx, func() {
		stop()
		cancel()
		c.wg.Done()
	}, nil
}

// Create creates a plan that leads to the intent; it does not take effect before it is
// confirmed. An endpoint that is draining keeps draining. It fails with
// daisyerror.Unavailable when the platform cannot store the plan.
func (c *Plan) Create(ctx context.Context, intent daisyconfig.Intent, operator string) (daisyplan.Plan, error) {
	return c.create(ctx, operator, func(inForce daisyconfig.Intent) (daisyconfig.Intent, error) {
		return daisyplan.KeepDraining(inForce, intent), nil
	})
}

// DrainEndpoint creates a plan after which an endpoint gets no new work. It fails with
// daisyerror.NotFound for an unknown endpoint, and otherwise like Create.
func (c *Plan) DrainEndpoint(ctx context.Context, id daisyconfig.EndpointID, operator string) (daisyplan.Plan, error) {
	return c.setDraining(ctx, id, operator, true)
}

// ResumeEndpoint creates a plan after which a drained endpoint gets work again. It
// fails like DrainEndpoint.
func (c *Plan) ResumeEndpoint(ctx context.Context, id daisyconfig.EndpointID, operator string) (daisyplan.Plan, error) {
	return c.setDraining(ctx, id, operator, false)
}

func (c *Plan) setDraining(ctx context.Context, id daisyconfig.EndpointID, operator string, draining bool) (daisyplan.Plan, error) {
	return c.create(ctx, operator, func(inForce daisyconfig.Intent) (daisyconfig.Intent, error) {
		return daisyplan.SetDraining(inForce, id, draining)
	})
}

// Restore creates a plan that restores the intent of an earlier revision, including its
// draining endpoints. It fails with daisyerror.NotFound for an unknown revision.
func (c *Plan) Restore(ctx context.Context, revision daisyconfig.Revision, operator string) (daisyplan.Plan, error) {
	s, err := c.options.Config.View(ctx, revision)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	return c.create(ctx, operator, func(daisyconfig.Intent) (daisyconfig.Intent, error) {
		return s.Intent, nil
	})
}

func (c *Plan) create(ctx context.Context, operator string, change func(daisyconfig.Intent) (daisyconfig.Intent, error)) (daisyplan.Plan, error) {
	ctx, end, err := c.startOperation(ctx)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	defer end()
	base, err := c.newestSnapshot(ctx)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	var inForce daisyconfig.Intent
	if base != nil {
		inForce = base.Intent
	}
	intent, err := change(inForce)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	p := daisyplan.New(base, intent, now())
	p.CreatedBy = operator
	if p.IntentHash, err = c.putIntent(ctx, intent); err != nil {
		return daisyplan.Plan{}, err
	}
	if p.ID, err = c.insert(ctx, p.Record); err != nil {
		return daisyplan.Plan{}, err
	}
	c.options.Logger.Info("plan created", "plan", p.ID, "base", p.Base, "changes", p.ChangeCount, "by", operator)
	return p, nil
}

// newestSnapshot returns the newest confirmed snapshot that the platform or this VM
// knows, or nil when there is none.
func (c *Plan) newestSnapshot(ctx context.Context) (*daisyconfig.Snapshot, error) {
	var s *daisyconfig.Snapshot
	err := retryUnavailable(ctx, func() error {
		row, err := getHead(ctx, c.options.Platform)
		if err != nil {
			return err
		}
		s = c.options.Config.InForce()
		if row.version == 0 || s != nil && s.Revision >= row.head.Revision {
			return nil
		}
		s, err = fetchSnapshot(ctx, c.options.Platform, row.head.Hash)
		return err
	})
	return s, err
}

// putIntent stores an intent in the object store. It fails with
// daisyerror.InvalidRequest for an intent that cannot be decoded again.
func (c *Plan) putIntent(ctx context.Context, intent daisyconfig.Intent) (daisyconfig.Hash, error) {
	data, hash, err := daisysnapshot.EncodeIntent(intent)
	if err != nil {
		return "", err
	}
	if _, _, err := daisysnapshot.DecodeIntent(data); err != nil {
		return "", err
	}
	return hash, putObject(ctx, c.options.Platform, intentPrefix+string(hash), data)
}

// insert writes the row of a new plan under an unused id.
func (c *Plan) insert(ctx context.Context, record daisyplan.Record) (daisyplan.ID, error) {
	for {
		record.ID = c.newID(record.CreatedAt)
		err := c.writeRow(ctx, planRow{record: record})
		if err == nil || !errorx.IsOfType(err, errRowChanged) {
			return record.ID, err
		}
	}
}

func (c *Plan) newID(at time.Time) daisyplan.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return daisyplan.ID(fmt.Sprintf("%s-%06x", at.UTC().Format(planTimeLayout), c.random.Uint32N(1<<24)))
}

// View returns a plan with its changes and warnings. It fails with
// daisyerror.NotFound for an unknown id, and with daisyerror.Unavailable for the id of
// a recent plan that reads do not show yet.
func (c *Plan) View(ctx context.Context, id daisyplan.ID) (daisyplan.Plan, error) {
	ctx, end, err := c.startOperation(ctx)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	defer end()
	row, err := c.findRow(ctx, id)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	head, err := c.newestHead(ctx)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	state, err := c.planState(ctx, row.record, head)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	return c.buildPlan(ctx, row.record, state)
}

// buildPlan recomputes a plan from its base snapshot and its intent.
func (c *Plan) buildPlan(ctx context.Context, record daisyplan.Record, state daisyplan.State) (daisyplan.Plan, error) {
	var base *daisyconfig.Snapshot
	var intent daisyconfig.Intent
	err := retryUnavailable(ctx, func() error {
		var err error
		if base, err = c.baseSnapshot(ctx, record.BaseHash); err != nil {
			return err
		}
		intent, err = c.getIntent(ctx, record.IntentHash)
		return err
	})
	if err != nil {
		return daisyplan.Plan{}, err
	}
	p := daisyplan.New(base, intent, record.CreatedAt)
	p.Record = record
	p.State = state
	return p, nil
}

// baseSnapshot returns the snapshot that a plan is based on, or nil for a plan
// without a base.
func (c *Plan) baseSnapshot(ctx context.Context, hash daisyconfig.Hash) (*daisyconfig.Snapshot, error) {
	if hash == "" {
		return nil, nil
	}
	if s := c.options.Config.InForce(); s != nil && s.Hash == hash {
		return s, nil
	}
	return fetchSnapshot(ctx, c.options.Platform, hash)
}

func (c *Plan) getIntent(ctx context.Context, hash daisyconfig.Hash) (daisyconfig.Intent, error) {
	data, err := getObject(ctx, c.options.Platform, intentPrefix+string(hash))
	if err != nil {
		return daisyconfig.Intent{}, err
	}
	intent, got, err := daisysnapshot.DecodeIntent(data)
	if err == nil && got != hash {
		err = daisyerror.InvalidRequest.New("intent %s has the hash %s", hash, got)
	}
	return intent, err
}
