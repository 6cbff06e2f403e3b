package follower

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
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

// AnnounceEnd announces that the process has finished. It tries one control instance after the other until one accepts the
// announcement or ctx ends.
func (f *Follower) AnnounceEnd(ctx context.Context) error {
	f.ended.Store(true)
	var err error
	if f.noMember.Load() {
		return nil
	}
	for _, base := range f.control.all() {
		client := f.config.NewClient()
		err = f.announce(ctx, client, base)
		client.CloseIdleConnections()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// wakeAnnouncer makes announceLoop send an announcement now.
func (f *Follower) wakeAnnouncer() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// announceLoop announces the process to renew its lease, and tries another control instance after each failure.
func (f *Follower) announceLoop(ctx context.Context) error {
	client := f.config.NewClient()
	attempt := rand.IntN(len(f.config.Control))
	retryDelays := backoff{random: rand.Int64N}
	base := f.controlURL(attempt)
	for ctx.Err() == nil && !f.ended.Load() {
		wait := announceInterval
		if f.noMember.Load() {
			f.waitOrWake(ctx, wait)
			continue
		}
		if err := f.announce(ctx, client, base); err == nil {
			retryDelays.reset()
		} else if ctx.Err() == nil {
			f.config.Log.Info("AnnounceFailed", zap.String("Control", base), zap.Error(err))
			attempt++
			base = f.controlURL(attempt)
			client.CloseIdleConnections()
			client = f.config.NewClient()
			wait = min(retryDelays.next(retryAfter(err)), announceInterval)
		}
		f.waitOrWake(ctx, wait)
	}
	client.CloseIdleConnections()
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
func (f *Follower) announce(ctx context.Context, client *http.Client, base string) error {
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
