package controller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/coalescer"
	"cherviltide.example/cherviltide/logger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/registrar"
	"cherviltide.example/cherviltide/runner"
)

// Apply accepts an edit in the same way as the remote procedure Apply.
func (c *Controller) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	return c.apply(ctx, req)
}

// CurrentConfiguration returns the accepted configuration. It is marked as confirmed when a majority has confirmed that it
// is the newest.
func (c *Controller) CurrentConfiguration(ctx context.Context) (*messenger.CurrentResponse, error) {
	return c.current(ctx, &messenger.CurrentRequest{})
}

// editKey identifies an edit in progress. Attempts at the same edit have equal keys until the leader changes: an edit on its
// way to a former leader must not hold up one to its successor.
type editKey struct {
	// leader is the base URL of the leader, or empty if this instance leads in the given term.
	leader string
	term   uint64
	id     string
	base   uint64
	number cherviltide.EditNumber
	text   string
}

// editBounds bound the edits in progress. Operators have at most eight on their way at once.
var editBounds = coalescer.Config{MaxJobs: 16, MaxBytes: 8 << 20, Timeout: editTimeout}

// newEditJobs returns the edits in progress of a control instance.
func newEditJobs() *coalescer.Coalescer[editKey, *messenger.ApplyResponse] {
	return coalescer.New[editKey, *messenger.ApplyResponse](editBounds)
}

// apply accepts an edit if this instance leads the configuration group, and forwards it to the leader otherwise. The edit goes
// on when the caller gives up, and the next attempt joins it. On a slow machine an attempt that began from the start would
// never end within the time that an operator waits.
func (c *Controller) apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), editTimeout)
	defer cancel()
	if res, accepted, err := c.acceptedEdit(detached, req); accepted {
		return res, err
	}
	started := time.Now()
	if _, err := c.parsed.Parse(req.Text); err != nil {
		return nil, err
	}
	c.times.since(started, phaseParse)
	r, err := c.locateLeader(detached, c.configuration)
	if err != nil {
		return nil, err
	}
	if !r.isSelf && (req.Forwarded || r.url == "") {
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
	}
	key := editKey{leader: r.url, term: r.term, id: req.EditID, base: req.Base, number: req.Number, text: req.Text}
	res, err := c.edits.Do(ctx, key, len(req.Text), func(ctx context.Context) (*messenger.ApplyResponse, error) {
		switch {
		case !r.isSelf:
			return c.forwardEdit(ctx, r.url, req)
		case req.Number.IsSet():
			return c.acceptNumberedEdit(ctx, req)
		}
		return c.acceptEdit(ctx, req)
	})
	if errors.Is(err, coalescer.ErrAbandoned) {
		c.config.Log.Info("EditAbandoned", zap.String("EditID", req.EditID), logger.EditNumber("Number", req.Number), zap.String("Leader", r.url))
	}
	return res, err
}

// acceptedEdit returns the result of an edit that this instance has already applied, or that a higher number has overtaken,
// and false for any other. An applied edit is accepted for good, so no majority has to confirm it.
func (c *Controller) acceptedEdit(ctx context.Context, req *messenger.ApplyRequest) (res *messenger.ApplyResponse, accepted bool, err error) {
	res = &messenger.ApplyResponse{}
	loopErr := c.runInLoop(ctx, func() {
		current := c.registrar.Current()
		switch {
		case req.Number.IsSet() && !req.Number.IsAbove(current.Edit.Number):
			accepted, res.Revision = true, current.Number
		case !req.Number.IsSet() && c.registrar.HasEdit(req.EditID):
			accepted = true
			res.Revision, err = c.registrar.EditResult(registrar.Edit{ID: req.EditID, Base: req.Base, Text: req.Text})
		}
		if accepted && req.Number.IsSet() {
			c.logOvertaken(req, current)
		}
	})
	return res, accepted && loopErr == nil, err
}

// forwardEdit sends an edit to the leader. An attempt without an answer is repeated on a new connection, with more time, since
// the connection may be dead without being closed; the leader joins the attempts.
func (c *Controller) forwardEdit(ctx context.Context, leader string, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	forwarded := *req
	forwarded.Forwarded = true
	defer c.times.since(time.Now(), phaseForward)
	for timeout := firstForwardTimeout; ; timeout *= 2 {
		attempt, cancel := context.WithTimeout(ctx, timeout)
		res, err := callOnNewClient(attempt, c.config.NewClient, messenger.Apply, leader, &forwarded)
		isTimeout := attempt.Err() != nil
		cancel()
		if err == nil || !isTimeout || ctx.Err() != nil {
			return res, err
		}
	}
}

// acceptEdit proposes an edit. It proposes only after a majority has confirmed that this instance leads, so an error for
// lack of a majority means that the edit was not accepted.
func (c *Controller) acceptEdit(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	rules, err := c.parsed.Parse(req.Text)
	if err != nil {
		return nil, err
	}
	if !c.confirmLeadership(ctx, c.configuration) {
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
	}
	base, err := c.currentRevision(ctx)
	if err != nil {
		return nil, err
	}
	edit := registrar.Edit{ID: req.EditID, Operator: req.Operator, Base: req.Base, Text: req.Text, Time: c.config.Clock.Now()}
	number, err := c.proposeEdit(ctx, base, edit, rules)
	return &messenger.ApplyResponse{Revision: number}, err
}

// acceptNumberedEdit proposes an edit whose number is above that of the accepted file, and repeats this until the edit or
// one with a higher number is accepted. For any other number it returns the accepted revision. It compares the numbers only
// after a majority has confirmed that this instance leads, so that it compares with the newest accepted file.
func (c *Controller) acceptNumberedEdit(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	rules, err := c.parsed.Parse(req.Text)
	if err != nil {
		return nil, err
	}
	for ctx.Err() == nil {
		if !c.confirmLeadership(ctx, c.configuration) {
			return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
		}
		base, err := c.currentRevision(ctx)
		if err != nil {
			return nil, err
		}
		if !req.Number.IsAbove(base.Edit.Number) {
			c.logOvertaken(req, base)
			return &messenger.ApplyResponse{Revision: base.Number}, nil
		}
		edit := registrar.Edit{ID: uuid.NewString(), Operator: req.Operator, Base: base.Number, Number: req.Number,
			Text: req.Text, Time: c.config.Clock.Now()}
		number, err := c.proposeEdit(ctx, base, edit, rules)
		if err == nil {
			return &messenger.ApplyResponse{Revision: number}, nil
		}
		c.config.Log.Info("EditRepeated", logger.EditNumber("Number", req.Number), zap.Error(err))
		_ = runner.Sleep(ctx, retryDelay)
	}
	return nil, fault("controller.apply", cherviltide.KindUnavailable, errOutcomeUnknown)
}

// logOvertaken logs that a file with a higher number than that of an edit is accepted.
func (c *Controller) logOvertaken(req *messenger.ApplyRequest, current registrar.Revision) {
	if current.Edit.Number.IsAbove(req.Number) {
		c.config.Log.Info("EditOvertaken", logger.EditNumber("Number", req.Number), logger.EditNumber("Accepted", current.Edit.Number),
			zap.Uint64("Revision", current.Number))
	}
}

// currentRevision returns the newest accepted revision.
func (c *Controller) currentRevision(ctx context.Context) (registrar.Revision, error) {
	var current registrar.Revision
	err := c.runInLoop(ctx, func() { current = c.registrar.Current() })
	return current, err
}

// editOutcome is the revision that an edit became, or the error for which it was rejected.
type editOutcome struct {
	number uint64
	err    error
}

// pendingEdit is an entry of an edit that is on its way to a majority.
type pendingEdit struct {
	base, term uint64
	// done is closed when the outcome is known.
	done chan struct{}
}

// proposeEdit proposes an edit of a revision and returns the revision that the edit became. It computes the log entry before it
// enters the control goroutine, since that takes time that grows with the text.
func (c *Controller) proposeEdit(ctx context.Context, base registrar.Revision, edit registrar.Edit, rules cherviltide.Rules) (uint64, error) {
	var entry []byte
	started := time.Now()
	if edit.Base == base.Number {
		edit.Former = cherviltide.UpdateFormerServices(c.parse(base).Routes, rules.Routes, base.Edit.Former)
		var err error
		if entry, err = registrar.EncodeEdit(base, edit); err != nil {
			return 0, err
		}
	}
	c.times.since(started, phaseEncode)
	defer c.times.since(time.Now(), phaseReplicate)
	answer := make(chan editOutcome, 1)
	for {
		var pending *pendingEdit
		if err := c.runInLoop(ctx, func() { pending = c.proposeEntry(edit, entry, answer) }); err != nil {
			return 0, err
		}
		if pending == nil {
			break
		}
		select {
		case <-pending.done:
		case <-ctx.Done():
			return 0, fault("controller.apply", cherviltide.KindUnavailable, errOutcomeUnknown)
		}
	}
	select {
	case o := <-answer:
		return o.number, o.err
	case <-ctx.Done():
		return 0, fault("controller.apply", cherviltide.KindUnavailable, errOutcomeUnknown)
	}
}

// proposeEntry proposes the entry of an edit and later sends the outcome to answer. It runs in the control goroutine. While an
// entry with the same base is on its way it returns that one and proposes nothing, since only one of them can be accepted.
func (c *Controller) proposeEntry(edit registrar.Edit, entry []byte, answer chan<- editOutcome) *pendingEdit {
	sendResult := func() {
		number, err := c.registrar.EditResult(edit)
		answer <- editOutcome{number, err}
	}
	isCurrent := edit.Base == c.registrar.Current().Number && entry != nil
	switch {
	case c.registrar.HasEdit(edit.ID) || (!isCurrent && !edit.Number.IsSet()):
		sendResult()
		return nil
	case !isCurrent:
		answer <- editOutcome{err: fault("controller.proposeEdit", cherviltide.KindConflict, errBaseChanged)}
		return nil
	}
	term, leads := c.configuration.isLeader()
	if p := c.pendingEdit; p != nil && leads && p.base == edit.Base && p.term == term {
		return p
	}
	p := &pendingEdit{base: edit.Base, term: term, done: make(chan struct{})}
	c.pendingEdit = p
	c.configuration.propose(entry, func(err error) {
		close(p.done)
		if c.pendingEdit == p {
			c.pendingEdit = nil
		}
		if err != nil {
			answer <- editOutcome{err: err}
			return
		}
		sendResult()
	})
	return nil
}

// current returns the accepted rules file. Without a majority it returns the newest file that this instance has, marked as
// not confirmed.
func (c *Controller) current(ctx context.Context, req *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
	r, err := c.locateLeader(ctx, c.configuration)
	if err != nil {
		return nil, err
	}
	if r.url != "" && !req.Forwarded {
		forwarded := messenger.CurrentRequest{Forwarded: true}
		if res, err := forwardToLeader(ctx, c, messenger.Current, r.url, &forwarded); err == nil {
			return res, nil
		}
	}
	res := &messenger.CurrentResponse{Confirmed: r.isSelf && c.confirmLeadership(ctx, c.configuration)}
	current, err := c.currentRevision(ctx)
	res.Revision, res.Text, res.Number = current.Number, current.Edit.Text, current.Edit.Number
	return res, err
}

// forwardTimeout bounds a request that is forwarded to the leader.
const forwardTimeout = 3 * time.Second

// forwardToLeader sends a request to the leader.
func forwardToLeader[Req, Res any](ctx context.Context, c *Controller, p messenger.Procedure[Req, Res], url string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return callOnNewClient(ctx, c.config.NewClient, p, url, req)
}

// callOnNewClient calls a procedure on a new connection, since a pooled one may be dead without being closed.
func callOnNewClient[Req, Res any](ctx context.Context, newClient func() *http.Client, p messenger.Procedure[Req, Res], url string, req *Req) (*Res, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	return p.Call(ctx, client, url, req)
}
