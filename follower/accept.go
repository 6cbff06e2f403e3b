package follower

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/messenger"
)

var (
	errDiverged       = errors.New("tables, events or position do not match those of the control instance")
	errRulesDigest    = errors.New("rules text differs from that of the control instance")
	errStreamTimeout  = errors.New("nothing received on the control stream before the timeout")
	errMessageTimeout = errors.New("no whole message received on the control stream before the timeout")
)

// acceptUpdate publishes the view after an update. After an error the caller closes the stream, and the next request asks
// for whole tables or the whole rules text.
func (f *Follower) acceptUpdate(u *messenger.FollowUpdate) error {
	if u.Greeting {
		f.control.announce(u.ControlURLs)
		return nil
	}
	if err := u.UnpackRules(); err != nil {
		f.needText.Store(true)
		return err
	}
	view, err := f.acceptRules(f.View(), u.Rules)
	if err != nil {
		return err
	}
	if view, err = acceptMembers(view, u); err != nil {
		f.needTables.Store(true)
		f.view.Store(view)
		return err
	}
	if len(u.PacketKey) == len(view.Key) && [16]byte(u.PacketKey) != view.Key {
		next := *view
		next.Key = [16]byte(u.PacketKey)
		view = &next
	}
	if len(u.ControlURLs) > 0 {
		f.control.announce(u.ControlURLs)
	}
	f.logEvacuation(f.view.Swap(view), view)
	if u.Digest != 0 && u.Digest != distributor.Digest(view.controlTables) {
		f.needTables.Store(true)
		f.config.Log.Warn("StateDiverged", zap.Uint64("Position", view.Position))
		return conflict("follower.acceptUpdate", errDiverged)
	}
	f.needTables.Store(false)
	return nil
}

// acceptMembers returns the view after the tables and events of an update. With an error it returns the view before them.
func acceptMembers(view *View, u *messenger.FollowUpdate) (*View, error) {
	if !u.ReplaceTables && u.Base == view.Base && u.Position < view.Position {
		return view, conflict("follower.acceptUpdate", errDiverged)
	}
	next := view
	var events []cherviltide.PositionedEvent
	after := view.Position
	for _, d := range u.Events {
		e, ok := d.Event(after)
		if !ok {
			return view, conflict("follower.acceptUpdate", errDiverged)
		}
		after = e.Position
		events = append(events, e)
	}
	if len(events) > 0 {
		next = next.WithEvents(events)
	}
	if u.ReplaceTables || len(u.Tables) > 0 {
		var err error
		if next, err = next.WithTables(u.Tables, u.ReplaceTables, u.Evacuated); err != nil {
			return view, err
		}
	}
	return next.withPosition(u.Base, u.Position), nil
}

// acceptRules returns the view after a rules update. When this process cannot parse the text, its present rules stay in
// force.
func (f *Follower) acceptRules(view *View, u *messenger.RulesUpdate) (*View, error) {
	if u == nil || u.Revision <= view.receivedRevision {
		return view, nil
	}
	started := time.Now()
	text := u.Text
	if len(u.Deltas) > 0 {
		var err error
		if text, err = messenger.ApplyLineDeltas(view.text, u.Deltas); err != nil {
			f.needText.Store(true)
			return nil, err
		}
	}
	if messenger.TextDigest(text) != u.Digest {
		f.needText.Store(true)
		return nil, conflict("follower.acceptUpdate", errRulesDigest)
	}
	f.needText.Store(false)
	view = view.withText(u.Revision, text)
	rules, err := f.config.Parse(text)
	if err != nil {
		f.config.Log.Error("RulesNotParsed", zap.Uint64("Revision", u.Revision), zap.Error(err))
		return view, nil
	}
	rules.Former = u.Former
	view = view.WithRules(rules.WithRevision(u.Revision))
	f.config.Log.Info("RulesTaken", zap.Uint64("Revision", u.Revision), zap.Int("Deltas", len(u.Deltas)), zap.Int("Bytes", len(text)),
		zap.Int64("PrepareMs", time.Since(started).Milliseconds()))
	return view, nil
}

func conflict(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindConflict, Err: err}}
}
