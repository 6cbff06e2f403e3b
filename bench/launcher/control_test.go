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

// controls is a system of control instances alone.
type controls struct {
	t      *testing.T
	system *System
	edits  int
}

func startControls(t *testing.T) *controls {
	folder := t.TempDir()
	binary := filepath.Join(folder, "cherviltide")
	out, err := exec.Command("go", "build", "-o", binary, "cherviltide.example/cherviltide/cmd/cherviltide").CombinedOutput()
	require.NoError(t, err, string(out))
	system, err := StartControls(Plan{Folder: folder, Binary: binary, Controls: 3, FailureDomains: []string{"a", "b", "c"}})
	require.NoError(t, err)
	t.Cleanup(system.Stop)
	return &controls{t: t, system: system}
}

func (c *controls) name(i int) string { return fmt.Sprintf("control-%d", i+1) }

func (c *controls) kill(i int) { c.system.Processes[c.name(i)].Kill() }

// restart starts an instance again; empty removes its data first.
func (c *controls) restart(i int, empty bool) {
	name := c.name(i)
	if empty {
		require.NoError(c.t, os.RemoveAll(filepath.Join(c.system.Plan.Folder, name)))
	}
	require.NoError(c.t, c.system.Restart(name))
}

// ask calls an instance on a connection of its own.
func ask[Req, Res any](c *controls, i int, p messenger.Procedure[Req, Res], req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	client := messenger.NewClient(nil)
	defer client.CloseIdleConnections()
	return p.Call(ctx, client, "http://"+c.system.Control[i].String(), req)
}

// eventually waits for a condition.
func (c *controls) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, waitTimeout, 20*time.Millisecond, what)
}

// edit sends an edit to the given instances until one accepts it, and returns the revision.
func (c *controls) edit(instances ...int) uint64 {
	c.t.Helper()
	c.edits++
	req := &messenger.ApplyRequest{EditID: fmt.Sprint("edit-", c.edits), Operator: "test", Text: text(c.edits)}
	var revision uint64
	c.eventually("edit is accepted", func() bool {
		for _, i := range instances {
			current, err := ask(c, i, messenger.Current, &messenger.CurrentRequest{})
			if err != nil || !current.Confirmed {
				continue
			}
			if current.Text != req.Text {
				req.Base = current.Revision
			}
			if res, err := ask(c, i, messenger.Apply, req); err == nil {
				revision = res.Revision
				return true
			}
		}
		return false
	})
	return revision
}

func text(n int) string {
	return fmt.Sprintf("Service s Address 127.0.0.9:443 # requested by test\n# edit %d\n", n)
}

// has waits until an instance alone confirms a revision with its text.
func (c *controls) has(i int, revision uint64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("%s has revision %d", c.name(i), revision), func() bool {
		res, err := ask(c, i, messenger.Current, &messenger.CurrentRequest{})
		return err == nil && res.Confirmed && res.Revision >= revision && strings.Contains(res.Text, fmt.Sprintf("# edit %d\n", c.edits))
	})
}

// logged waits until the newest log of an instance contains a text.
func (c *controls) logged(i int, text string, times int) {
	c.t.Helper()
	c.eventually(c.name(i)+" logs "+text, func() bool {
		data, err := os.ReadFile(c.system.Processes[c.name(i)].Log)
		return err == nil && strings.Count(string(data), text) >= times
	})
}

// leader returns the instance that leads the configuration.
func (c *controls) leader() int {
	c.t.Helper()
	leader := -1
	c.eventually("an instance leads", func() bool {
		for i := range 3 {
			res, err := ask(c, i, messenger.Current, &messenger.CurrentRequest{Forwarded: true})
			if err == nil && res.Confirmed {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// Guards against accepted edits that are lost, and edits that run twice, when the leader is killed.
func TestLeaderKilledDuringEdits(t *testing.T) {
	c := startControls(t)
	for range 3 {
		before := c.edit(0, 1, 2)
		leader := c.leader()
		req := &messenger.ApplyRequest{EditID: fmt.Sprint("crossed-", leader, before), Operator: "test", Base: before, Text: text(c.edits)}
		answer := make(chan error, 1)
		go func() { _, err := ask(c, leader, messenger.Apply, req); answer <- err }()
		c.kill(leader)
		<-answer
		var first uint64
		c.eventually("edit is accepted by another leader", func() bool {
			res, err := ask(c, (leader+1)%3, messenger.Apply, req)
			if err == nil {
				first = res.Revision
			}
			return err == nil
		})
		require.Equal(t, before+1, first)
		again, err := ask(c, (leader+1)%3, messenger.Apply, req)
		if err == nil {
			require.Equal(t, first, again.Revision)
		}
		c.restart(leader, false)
		c.has(leader, first)
	}
}

// Guards against a frozen leader that accepts or confirms anything after another has taken over.
func TestFrozenLeader(t *testing.T) {
	c := startControls(t)
	c.edit(0, 1, 2)
	leader := c.leader()
	p := c.system.Processes[c.name(leader)]
	require.NoError(t, p.Signal(syscall.SIGSTOP))
	newest := c.edit((leader+1)%3, (leader+2)%3)
	require.NoError(t, p.Signal(syscall.SIGCONT))
	res, err := ask(c, leader, messenger.Current, &messenger.CurrentRequest{Forwarded: true})
	if err == nil && res.Confirmed {
		require.Equal(t, newest, res.Revision)
	}
	_, err = ask(c, leader, messenger.Apply, &messenger.ApplyRequest{EditID: "stale", Base: newest - 1, Text: text(99)})
	require.Error(t, err)
	c.has(leader, newest)
}

// Guards against an instance without a majority that accepts an edit or shows its state as confirmed.
func TestMinorityRefuses(t *testing.T) {
	c := startControls(t)
	newest := c.edit(0, 1, 2)
	leader := c.leader()
	c.kill((leader + 1) % 3)
	c.kill((leader + 2) % 3)
	_, err := ask(c, leader, messenger.Apply, &messenger.ApplyRequest{EditID: "alone", Base: newest, Text: text(99)})
	var refused *messenger.Error
	require.ErrorAs(t, err, &refused)
	require.EqualValues(t, "Unavailable", refused.Kind)
	require.ErrorContains(t, err, "no majority")
	res, err := ask(c, leader, messenger.Current, &messenger.CurrentRequest{})
	require.NoError(t, err)
	require.False(t, res.Confirmed)
	require.Equal(t, newest, res.Revision)
	c.restart((leader+1)%3, false)
	require.Equal(t, newest+1, c.edit(leader, (leader+1)%3))
}

// Guards against the loss of an accepted revision when disks are lost one after the other with a repair between, and
// against a wiped founder that starts a second system.
func TestDisksLostInTurn(t *testing.T) {
	c := startControls(t)
	newest := c.edit(0, 1, 2)
	for i := range 3 {
		c.kill(i)
		c.restart(i, true)
		c.logged(i, `"Event":"Admitted"`, 2*2)
		c.has(i, newest)
	}
	require.Equal(t, newest+1, c.edit(0, 1, 2))
}

// Guards against two winners among edits of the same base, and a conflict that does not show the difference.
func TestEqualBases(t *testing.T) {
	c := startControls(t)
	base := c.edit(0, 1, 2)
	errs := make(chan error, 3)
	for i := range 3 {
		go func() {
			_, err := ask(c, i, messenger.Apply, &messenger.ApplyRequest{EditID: fmt.Sprint("rival-", i), Base: base, Text: text(100 + i)})
			errs <- err
		}()
	}
	won := 0
	for range 3 {
		err := <-errs
		if err == nil {
			won++
			continue
		}
		var refused *messenger.Error
		require.ErrorAs(t, err, &refused)
		require.EqualValues(t, "Conflict", refused.Kind, err.Error())
		require.ErrorContains(t, err, "+# edit 10")
	}
	require.Equal(t, 1, won)
}

// Guards against a history or origins that an instance behind the leader shows without the newest accepted edit.
func TestHistoryIsTheLeaders(t *testing.T) {
	c := startControls(t)
	for range 3 {
		revision := c.edit(0, 1, 2)
		for i := range 3 {
			c.eventually("history is confirmed", func() bool {
				history, err := ask(c, i, messenger.History, &messenger.HistoryRequest{Limit: 1})
				rules, rulesErr := ask(c, i, messenger.Rules, &messenger.RulesRequest{})
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
