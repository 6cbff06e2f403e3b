package launcher

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// waitTimeout bounds each wait for a condition.
const waitTimeout = 30 * time.Second

// controlCluster is a system of three control instances without entries and agents.
type controlCluster struct {
	t      *testing.T
	system *System
	edits  int
}

func startControls(t *testing.T) *controlCluster {
	dir := t.TempDir()
	binary := filepath.Join(dir, "cherviltide")
	out, err := exec.Command("go", "build", "-o", binary, "cherviltide.example/cherviltide/cmd/cherviltide").CombinedOutput()
	require.NoError(t, err, string(out))
	system, err := StartControls(Plan{Dir: dir, Binary: binary, Controls: 3, FailureDomains: []string{"a", "b", "c"}})
	require.NoError(t, err)
	t.Cleanup(system.Stop)
	return &controlCluster{t: t, system: system}
}

func (c *controlCluster) name(i int) string { return fmt.Sprintf("control-%d", i+1) }

func (c *controlCluster) kill(i int) { c.system.Processes[c.name(i)].Kill() }

// restart starts an instance again, and removes its data before if emptyDisk is true.
func (c *controlCluster) restart(i int, emptyDisk bool) {
	name := c.name(i)
	if emptyDisk {
		require.NoError(c.t, os.RemoveAll(filepath.Join(c.system.Plan.Dir, name)))
	}
	require.NoError(c.t, c.system.RestartControl(name))
}

// call calls an instance over a new connection.
func call[Req, Res any](c *controlCluster, i int, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	client := messenger.NewClient(nil)
	defer client.CloseIdleConnections()
	return p.Call(ctx, client, "http://"+c.system.ControlAddresses[i].String(), req)
}

// eventually waits until a condition holds.
func (c *controlCluster) eventually(description string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, waitTimeout, 20*time.Millisecond, description)
}

// applyEdit sends an edit to the given instances in turn until one accepts it, and returns the revision.
func (c *controlCluster) applyEdit(instances ...int) uint64 {
	c.t.Helper()
	c.edits++
	req := &messenger.ApplyRequest{EditID: fmt.Sprint("edit-", c.edits), Operator: "test", Text: editText(c.edits)}
	var revision uint64
	c.eventually("edit is accepted", func() bool {
		for _, i := range instances {
			current, err := call(c, i, messenger.Current, &messenger.CurrentRequest{})
			if err != nil || !current.Confirmed {
				continue
			}
			if current.Text != req.Text {
				req.Base = current.Revision
			}
			if res, err := call(c, i, messenger.Apply, req); err == nil {
				revision = res.Revision
				return true
			}
		}
		return false
	})
	return revision
}

func editText(n int) string {
	return fmt.Sprintf("Service s Address 127.0.0.9:443 # requested by test\n# edit %d\n", n)
}

// waitForRevision waits until an instance confirms a revision, or a newer one, with the text of the newest edit.
func (c *controlCluster) waitForRevision(i int, revision uint64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%s has revision %d", c.name(i), revision), func() bool {
		res, err := call(c, i, messenger.Current, &messenger.CurrentRequest{})
		return err == nil && res.Confirmed && res.Revision >= revision && strings.Contains(res.Text, fmt.Sprintf("# edit %d\n", c.edits))
	})
}

// waitForLog waits until the log of an instance contains a text at least the given number of times.
func (c *controlCluster) waitForLog(i int, text string, count int) {
	c.t.Helper()
	c.eventually(c.name(i)+" logs "+text, func() bool {
		data, err := os.ReadFile(c.system.Processes[c.name(i)].Log)
		return err == nil && strings.Count(string(data), text) >= count
	})
}

// findLeader returns the instance that is the leader of the configuration log.
func (c *controlCluster) findLeader() int {
	c.t.Helper()
	leader := -1
	c.eventually("an instance is the leader", func() bool {
		for i := range 3 {
			res, err := call(c, i, messenger.Current, &messenger.CurrentRequest{Forwarded: true})
			if err == nil && res.Confirmed {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// Guards against accepted edits that are lost, and edits that are applied twice when a client repeats them, after the
// leader is killed.
func TestLeaderKilledDuringEdits(t *testing.T) {
	c := startControls(t)
	for range 3 {
		before := c.applyEdit(0, 1, 2)
		leader := c.findLeader()
		req := &messenger.ApplyRequest{EditID: fmt.Sprint("crossed-", leader, before), Operator: "test", Base: before, Text: editText(c.edits)}
		done := make(chan error, 1)
		go func() { _, err := call(c, leader, messenger.Apply, req); done <- err }()
		c.kill(leader)
		<-done
		var revision uint64
		c.eventually("edit is accepted by another leader", func() bool {
			res, err := call(c, (leader+1)%3, messenger.Apply, req)
			if err == nil {
				revision = res.Revision
			}
			return err == nil
		})
		require.Equal(t, before+1, revision)
		repeated, err := call(c, (leader+1)%3, messenger.Apply, req)
		if err == nil {
			require.Equal(t, revision, repeated.Revision)
		}
		c.restart(leader, false)
		c.waitForRevision(leader, revision)
	}
}

// Guards against a leader that was frozen and, once continued, accepts edits or confirms old state although another
// instance is the leader.
func TestFrozenLeader(t *testing.T) {
	c := startControls(t)
	c.applyEdit(0, 1, 2)
	leader := c.findLeader()
	p := c.system.Processes[c.name(leader)]
	require.NoError(t, p.Signal(syscall.SIGSTOP))
	newest := c.applyEdit((leader+1)%3, (leader+2)%3)
	require.NoError(t, p.Signal(syscall.SIGCONT))
	res, err := call(c, leader, messenger.Current, &messenger.CurrentRequest{Forwarded: true})
	if err == nil && res.Confirmed {
		require.Equal(t, newest, res.Revision)
	}
	_, err = call(c, leader, messenger.Apply, &messenger.ApplyRequest{EditID: "stale", Base: newest - 1, Text: editText(99)})
	require.Error(t, err)
	c.waitForRevision(leader, newest)
}

// Guards against an instance that accepts an edit or returns its state as confirmed while it reaches no majority.
func TestMinorityRejectsEdits(t *testing.T) {
	c := startControls(t)
	newest := c.applyEdit(0, 1, 2)
	leader := c.findLeader()
	c.kill((leader + 1) % 3)
	c.kill((leader + 2) % 3)
	_, err := call(c, leader, messenger.Apply, &messenger.ApplyRequest{EditID: "alone", Base: newest, Text: editText(99)})
	var refused *messenger.Error
	require.ErrorAs(t, err, &refused)
	require.EqualValues(t, "Unavailable", refused.Kind)
	require.ErrorContains(t, err, "no majority")
	res, err := call(c, leader, messenger.Current, &messenger.CurrentRequest{})
	require.NoError(t, err)
	require.False(t, res.Confirmed)
	require.Equal(t, newest, res.Revision)
	c.restart((leader+1)%3, false)
	require.Equal(t, newest+1, c.applyEdit(leader, (leader+1)%3))
}

// Guards against the loss of an accepted revision when disks are lost one after the other, each after the instance before
// has recovered, and against an instance that bootstraps a second system after the loss of its disk.
func TestSuccessiveDiskLosses(t *testing.T) {
	c := startControls(t)
	newest := c.applyEdit(0, 1, 2)
	for i := range 3 {
		c.kill(i)
		c.restart(i, true)
		c.waitForLog(i, `"Event":"Admitted"`, 2*2)
		c.waitForRevision(i, newest)
	}
	require.Equal(t, newest+1, c.applyEdit(0, 1, 2))
}

// Guards against concurrent edits of the same base revision of which more than one is accepted, and against a conflict
// error without the diff.
func TestConcurrentEditsOfSameBase(t *testing.T) {
	c := startControls(t)
	base := c.applyEdit(0, 1, 2)
	errs := make(chan error, 3)
	for i := range 3 {
		go func() {
			_, err := call(c, i, messenger.Apply, &messenger.ApplyRequest{EditID: fmt.Sprint("rival-", i), Base: base, Text: editText(100 + i)})
			errs <- err
		}()
	}
	accepted := 0
	for range 3 {
		err := <-errs
		if err == nil {
			accepted++
			continue
		}
		var refused *messenger.Error
		require.ErrorAs(t, err, &refused)
		require.EqualValues(t, "Conflict", refused.Kind, err.Error())
		require.ErrorContains(t, err, "+# edit 10")
	}
	require.Equal(t, 1, accepted)
}

// Guards against an instance behind the leader that returns a history, or rules with their origins, as confirmed without
// the newest accepted edit.
func TestHistoryIsConfirmedByLeader(t *testing.T) {
	c := startControls(t)
	for range 3 {
		revision := c.applyEdit(0, 1, 2)
		for i := range 3 {
			c.eventually("history is confirmed", func() bool {
				history, err := call(c, i, messenger.History, &messenger.HistoryRequest{Limit: 1})
				rules, rulesErr := call(c, i, messenger.Rules, &messenger.RulesRequest{})
				if err != nil || rulesErr != nil || !history.Confirmed || !rules.Confirmed {
					return false
				}
				require.Equal(t, revision, history.Revisions[0].Revision)
				require.Equal(t, revision, rules.Revision)
				return true
			})
		}
	}
}
