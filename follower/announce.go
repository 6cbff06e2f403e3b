package follower

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/hedger"
	"cherviltide.example/cherviltide/messenger"
)

// announceInterval is the time between two announcements.
const announceInterval cherviltide.Millis = 1_000

// Leave asks control to send the process no new work.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.wakeAnnouncer()
}

// StartMember announces a new member in place of the previous one, which has ended, or as the first one. A leaving member
// must never be announced as one that is not leaving: control would take this for a member that an operator drains and that
// does not know it yet, and would end the process.
func (f *Follower) StartMember(m cherviltide.Member, leaving bool) {
	// An announcement reads the member before these flags, so that it never combines the new member with the old flags.
	f.leaving.Store(leaving)
	f.paused.Store(false)
	f.memberEnded.Store(false)
	f.member.Store(&m)
	f.noMember.Store(false)
	f.wakeAnnouncer()
}

// EndMember announces that the member has ended, while the process continues.
func (f *Follower) EndMember() {
	f.memberEnded.Store(true)
	f.wakeAnnouncer()
}

// Pause asks control to send the process no new flows until Resume.
func (f *Follower) Pause() {
	if !f.paused.Swap(true) {
		f.wakeAnnouncer()
	}
}

// Resume ends a Pause.
func (f *Follower) Resume() {
	if f.paused.Swap(false) {
		f.wakeAnnouncer()
	}
}

// AnnounceEnd announces that the process has finished. It tries the control instances until one accepts the announcement or
// ctx ends.
func (f *Follower) AnnounceEnd(ctx context.Context) error {
	f.ended.Store(true)
	if f.noMember.Load() {
		return nil
	}
	_, err := newAnnounceHedger().Call(ctx, f.control.toCall(""), func(ctx context.Context, base string, win func() bool) error {
		client := f.config.NewClient()
		defer client.CloseIdleConnections()
		return f.announce(ctx, client, base, win)
	})
	return err
}

const (
	// announceDelay is how long an announcement may stay unanswered before it is sent to another control instance as well. It
	// is longer than that of a subscription, because each announcement costs the leader time, also when it is slow.
	announceDelay = 400 * time.Millisecond
	// announcementsInFlight is the highest number of instances to which one announcement is sent at the same time.
	announcementsInFlight = 2
)

func newAnnounceHedger() hedger.Hedger {
	return hedger.New(announceDelay, announcementsInFlight)
}

// wakeAnnouncer makes announceLoop send an announcement now.
func (f *Follower) wakeAnnouncer() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// announceLoop announces the process to renew its lease, and goes on with another control instance when one fails.
func (f *Follower) announceLoop(ctx context.Context) error {
	client, base := f.config.NewClient(), ""
	defer func() { client.CloseIdleConnections() }()
	retryDelays := backoff{random: rand.Int64N}
	// attempt sends an announcement on the kept connection, or on a new one to another instance.
	attempt := func(ctx context.Context, target string, win func() bool) error {
		if target == base {
			return f.announce(ctx, client, base, win)
		}
		other := f.config.NewClient()
		defer other.CloseIdleConnections()
		return f.announce(ctx, other, target, win)
	}
	for ctx.Err() == nil && !f.ended.Load() {
		wait := announceInterval
		if f.noMember.Load() {
			f.waitOrWake(ctx, wait)
			continue
		}
		winner, err := newAnnounceHedger().Call(ctx, f.control.toCall(base), attempt)
		if err == nil {
			retryDelays.reset()
		} else if ctx.Err() == nil {
			f.config.Log.Info("AnnounceFailed", zap.String("Control", base), zap.Error(err))
			wait = min(retryDelays.next(retryAfter(err)), announceInterval)
		}
		if winner != base {
			client.CloseIdleConnections()
			client, base = f.config.NewClient(), winner
		}
		f.waitOrWake(ctx, wait)
	}
	return nil
}

// waitOrWake waits for the given time, until wakeAnnouncer is called or until ctx ends.
func (f *Follower) waitOrWake(ctx context.Context, wait cherviltide.Millis) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// announceTimeout bounds one announcement. It leaves time to try another instance before control suspects the member.
const announceTimeout = 1_000 * time.Millisecond

// announce sends one announcement and acts on the response: it renews the leases, rejoins after an expulsion, and closes
// drainRequested when an operator drains the process.
func (f *Follower) announce(ctx context.Context, client *http.Client, base string, win func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	member := f.Member()
	req := &messenger.AnnounceRequest{
		Member:       member,
		Leaving:      f.leaving.Load(),
		Ended:        f.ended.Load() || f.memberEnded.Load(),
		Paused:       f.paused.Load(),
		RevisionSeen: f.View().receivedRevision,
		Started:      f.started,
	}
	f.config.FillAnnouncement(req)
	sentAt := time.Now()
	res, err := messenger.Announce.Call(ctx, client, base, req)
	if err != nil {
		return err
	}
	if !win() {
		return context.Canceled
	}
	if req.Ended && f.Member().Incarnation == req.Member.Incarnation {
		f.noMember.Store(true)
		return nil
	}
	if res.Expelled {
		f.rejoin(res.Incarnation)
		return nil
	}
	if res.Leave {
		f.drainOnce.Do(func() { close(f.drainRequested) })
	}
	if res.Lease > 0 {
		f.lease.renew(sentAt, res.Lease)
		if f.View().Position >= res.Position {
			f.currentLease.renew(sentAt, res.Lease)
		}
	}
	return nil
}

// rejoin takes a new incarnation after control has expelled the process. The process has no lease until it has joined
// again.
func (f *Follower) rejoin(known uint64) {
	m := f.Member()
	m.Incarnation = max(known+1, uint64(time.Now().UnixNano()))
	f.member.Store(&m)
	f.lease.renew(time.Time{}, 0)
	f.currentLease.renew(time.Time{}, 0)
	f.config.Log.Warn("Expelled", zap.Uint64("NewIncarnation", m.Incarnation))
	f.wakeAnnouncer()
}
