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

// Leave asks control to send the process nothing new.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.signal()
}

// StartMember announces a member in place of the present one, which has ended or was never there. A member that leaves is never
// announced as one that stays: control would take the difference for an operator's order to end the process.
func (f *Follower) StartMember(m cherviltide.Member, leaving bool) {
	// An announcement reads the member first, so that it never pairs the new member with what was said of the old one.
	f.leaving.Store(leaving)
	f.paused.Store(false)
	f.gone.Store(false)
	f.member.Store(&m)
	f.absent.Store(false)
	f.signal()
}

// EndMember announces that the member has ended while the process goes on.
func (f *Follower) EndMember() {
	f.gone.Store(true)
	f.signal()
}

// Pause asks control to send the process no new flows until Resume.
func (f *Follower) Pause() {
	if !f.paused.Swap(true) {
		f.signal()
	}
}

// Resume takes a Pause back.
func (f *Follower) Resume() {
	if f.paused.Swap(false) {
		f.signal()
	}
}

// End tells control that the process has finished, at each instance in turn until one has taken it or ctx has ended.
func (f *Follower) End(ctx context.Context) error {
	f.ended.Store(true)
	var err error
	if f.absent.Load() {
		return nil
	}
	for _, base := range f.control.list() {
		client := f.config.NewClient()
		err = f.announce(ctx, client, base)
		client.CloseIdleConnections()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// announceLoop renews the lease and tries another control instance after each failure.
func (f *Follower) announceLoop(ctx context.Context) error {
	client := f.config.NewClient()
	attempt := rand.IntN(len(f.config.Control))
	waits := backoff{random: rand.Int64N}
	base := f.pick(attempt)
	for ctx.Err() == nil && !f.ended.Load() {
		wait := announceInterval
		if f.absent.Load() {
			f.pause(ctx, wait)
			continue
		}
		if err := f.announce(ctx, client, base); err == nil {
			waits.reset()
		} else if ctx.Err() == nil {
			f.config.Log.Info("AnnounceFailed", zap.String("Control", base), zap.Error(err))
			attempt++
			base = f.pick(attempt)
			client.CloseIdleConnections()
			client = f.config.NewClient()
			wait = min(waits.next(retryAfter(err)), announceInterval)
		}
		f.pause(ctx, wait)
	}
	client.CloseIdleConnections()
	return nil
}

func (f *Follower) pause(ctx context.Context, wait cherviltide.Millis) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// announceTimeout bounds one announcement. It leaves time for another instance within the time until suspicion.
const announceTimeout = 1_000 * time.Millisecond

// announce sends one announcement and renews the lease by its answer.
func (f *Follower) announce(ctx context.Context, client *http.Client, base string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	member := f.Member()
	req := &messenger.AnnounceRequest{
		Member:       member,
		Leaving:      f.leaving.Load(),
		Ended:        f.ended.Load() || f.gone.Load(),
		Paused:       f.paused.Load(),
		RevisionSeen: f.View().received,
		Started:      f.started,
	}
	f.config.FillAnnouncement(req)
	sent := time.Now()
	res, err := messenger.Announce.Call(ctx, client, base, req)
	if err != nil {
		return err
	}
	if req.Ended && f.Member().Incarnation == req.Member.Incarnation {
		f.absent.Store(true)
		return nil
	}
	if res.Expelled {
		f.rejoin(res.Incarnation)
		return nil
	}
	if res.Leave {
		f.drainOnce.Do(func() { close(f.drained) })
	}
	if res.Lease > 0 {
		f.lease.renew(sent, res.Lease)
		if f.View().Position >= res.Position {
			f.current.renew(sent, res.Lease)
		}
	}
	return nil
}

// rejoin takes a new incarnation after control has expelled the process, which has no lease until it has joined again.
func (f *Follower) rejoin(known uint64) {
	m := f.Member()
	m.Incarnation = max(known+1, uint64(time.Now().UnixNano()))
	f.member.Store(&m)
	f.lease.renew(time.Time{}, 0)
	f.current.renew(time.Time{}, 0)
	f.config.Log.Warn("Expelled", zap.Uint64("NewIncarnation", m.Incarnation))
	f.signal()
}
