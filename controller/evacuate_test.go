package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// faultyLog is the membership log of a leader that loses its leadership after it has synced an entry, or that commits only
// when the test lets it.
type faultyLog struct {
	membershipLog
	losesAnswer bool
	// held has the proposals that wait for release; nil lets all pass.
	held []func()
}

func (l *faultyLog) ProposeAndReport(entry []byte, done func(error)) {
	switch {
	case l.losesAnswer:
		l.membershipLog.ProposeAndReport(entry, func(error) { done(errEntryLost) })
	case l.held != nil:
		l.held = append(l.held, func() { l.membershipLog.ProposeAndReport(entry, done) })
	default:
		l.membershipLog.ProposeAndReport(entry, done)
	}
}

// orderFixture is a leader whose log the test disturbs.
type orderFixture struct {
	*Controller
	t   *testing.T
	ctx context.Context
	log *faultyLog
}

func newOrderFixture(t *testing.T) *orderFixture {
	c, ctx := startController(t)
	x := &orderFixture{Controller: c, t: t, ctx: ctx, log: &faultyLog{membershipLog: c.members.log}}
	x.inLoop(func() { c.members.log = x.log })
	_, err := c.announce(ctx, &messenger.AnnounceRequest{Member: cherviltide.Member{
		Name: "desk-1", Role: cherviltide.RoleAgent, Service: "desk", FailureDomain: "z1", Incarnation: 1,
	}, OpenFlows: 3})
	require.NoError(t, err)
	return x
}

func (x *orderFixture) inLoop(f func()) { require.NoError(x.t, x.runInLoop(x.ctx, f)) }

func (x *orderFixture) order(domain string, withdraw bool, operator string) (*messenger.EvacuateResponse, error) {
	return x.Evacuate(x.ctx, &messenger.EvacuateRequest{FailureDomain: domain, Withdraw: withdraw, Operator: operator})
}

func (x *orderFixture) requireRefused(kind cherviltide.ErrorKind, domain string, withdraw bool) error {
	x.t.Helper()
	_, err := x.order(domain, withdraw, "refused")
	var e *Error
	require.ErrorAs(x.t, err, &e)
	require.Equal(x.t, kind, e.FaultKind(), err)
	return err
}

func (x *orderFixture) evacuations() (list []tracker.Evacuation) {
	x.inLoop(func() { list = x.tracker.Evacuations() })
	return list
}

// TestOrderIsSentAgain guards against an order that is lost with the leader, that a repetition changes, or that is acknowledged
// without a commit of its own.
func TestOrderIsSentAgain(t *testing.T) {
	x := newOrderFixture(t)
	want := []tracker.Evacuation{{FailureDomain: "z1", Operator: "refused", Since: 1_800_000_000_000}}
	x.inLoop(func() { x.log.losesAnswer = true })
	x.requireRefused(cherviltide.KindInternal, "z1", false)
	x.inLoop(func() { x.log.losesAnswer = false })
	require.Equal(t, want, x.evacuations())
	first, err := x.order("z1", false, "two")
	require.NoError(t, err)
	again, err := x.order("z1", false, "three")
	require.NoError(t, err)
	require.Greater(t, again.Position, first.Position)
	require.Equal(t, want, x.evacuations())
	status, err := x.status(x.ctx, &messenger.StatusRequest{})
	require.NoError(t, err)
	require.Equal(t, []messenger.EvacuationStatus{
		{FailureDomain: "z1", Operator: "refused", Since: 1_800_000_000_000, Agents: 1, OpenFlows: 3},
	}, status.Evacuations)
	for range 2 {
		_, err = x.order("z1", true, "four")
		require.NoError(t, err)
		require.Empty(t, x.evacuations())
	}
}

// TestOrderOnItsWay guards against an order that begins anew with each attempt, and against an acknowledgement before the
// commit.
func TestOrderOnItsWay(t *testing.T) {
	x := newOrderFixture(t)
	x.hold()
	answers := make(chan error, 2)
	send := func(withdraw bool) { _, err := x.order("z1", withdraw, "one"); answers <- err }
	go send(false)
	x.awaitHeld(1)
	// The second attempt comes before the withdrawal; after it, the order would begin anew.
	var again *order
	x.inLoop(func() { again = x.proposeOrder(&messenger.EvacuateRequest{FailureDomain: "z1", Operator: "one"}) })
	x.awaitHeld(1)
	go send(true)
	x.awaitHeld(2)
	require.Empty(t, answers)
	require.Empty(t, x.evacuations())
	x.release()
	require.NoError(t, errors.Join(<-answers, <-answers))
	<-again.done
	require.NoError(t, again.err)
}

// hold makes the proposals wait for release.
func (x *orderFixture) hold() { x.inLoop(func() { x.log.held = []func(){} }) }

func (x *orderFixture) awaitHeld(n int) {
	held := func() (n int) { x.inLoop(func() { n = len(x.log.held) }); return n }
	require.Eventually(x.t, func() bool { return held() == n }, 10*time.Second, time.Millisecond)
}

func (x *orderFixture) release() {
	x.inLoop(func() {
		for _, release := range x.log.held {
			release()
		}
		x.log.held = nil
	})
}

// TestOrderAfterItsWithdrawal guards against an order that is acknowledged with an earlier one although a withdrawal comes
// between them.
func TestOrderAfterItsWithdrawal(t *testing.T) {
	x := newOrderFixture(t)
	x.hold()
	answers := make(chan error, 3)
	for i, withdraw := range []bool{false, true, false} {
		go func() { _, err := x.order("z1", withdraw, "one"); answers <- err }()
		x.awaitHeld(i + 1)
	}
	x.release()
	require.NoError(t, errors.Join(<-answers, <-answers, <-answers))
	require.Len(t, x.evacuations(), 1)
}

// TestRefusedOrders guards against orders that are refused for good although they may be sent again, and against orders about
// domains that do not exist.
func TestRefusedOrders(t *testing.T) {
	x := newOrderFixture(t)
	x.requireRefused(cherviltide.KindInvalid, "", false)
	require.ErrorContains(t, x.requireRefused(cherviltide.KindInvalid, "z2", false), "known are: z1")
	x.requireRefused(cherviltide.KindInvalid, "z2", true)
	x.inLoop(func() { x.config.FailureDomains = []string{"z2"} })
	_, err := x.order("z2", false, "one")
	require.NoError(t, err)
	x.inLoop(func() { x.members.log, x.tracker = &nonLeaderLog{}, tracker.New() })
	x.requireRefused(cherviltide.KindUnavailable, "z2", false)
	x.requireRefused(cherviltide.KindUnavailable, "unknown", false)
}
