package commands

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/runner"
)

// editFlags are the flags of the commands that create a revision.
type editFlags struct {
	controlFlags
	Operator string        `arg:"--operator,env:USER" help:"who makes the edit"`
	EditID   string        `arg:"--edit-id" help:"ID of an earlier edit whose response was lost, to repeat that edit"`
	Base     int64         `arg:"--base" default:"-1" help:"revision that was edited; -1 for the current one"`
	Wait     time.Duration `arg:"--wait" help:"wait until the revision is in force everywhere, at most this long"`
}

type applyCommand struct {
	editFlags
	File string `arg:"positional,required" help:"rules file"`
}

func (c *applyCommand) examples() string {
	return "cherviltide apply rules --control 127.0.0.1:7400 --operator rita --wait 30s"
}

func (c *applyCommand) execute(ctx context.Context, console console) error {
	text, err := readRulesFile(c.File)
	if err != nil {
		return err
	}
	if _, err := parser.Parse(text); err != nil {
		return withFileName(c.File, err)
	}
	s, err := c.newSession()
	if err != nil {
		return err
	}
	return c.submit(ctx, console, s, text)
}

type rollbackCommand struct {
	editFlags
	Revision uint64 `arg:"positional,required" help:"revision whose content comes into force again"`
}

func (c *rollbackCommand) examples() string {
	return "cherviltide rollback 12 --control 127.0.0.1:7400 --operator rita"
}

func (c *rollbackCommand) execute(ctx context.Context, console console) error {
	s, err := c.newSession()
	if err != nil {
		return err
	}
	res, err := callControl(ctx, s, messenger.History, &messenger.HistoryRequest{Newest: c.Revision, Limit: 1, WithText: true})
	if err != nil {
		return err
	}
	if len(res.Revisions) == 0 || res.Revisions[0].Revision != c.Revision {
		return &Error{cherviltide.Fault{Op: "commands.rollback", Kind: cherviltide.KindInvalid, Err: fmt.Errorf("control has no revision %d", c.Revision)}}
	}
	return c.submit(ctx, console, s, res.Revisions[0].Text)
}

// submit sends an edit and prints the revision that it created. All attempts have the same edit ID, so that control applies
// the edit at most once.
func (c *editFlags) submit(ctx context.Context, console console, s *session, text string) error {
	if c.Operator == "" {
		return &usageError{errors.New("--operator is required")}
	}
	base, err := c.resolveBase(ctx, s)
	if err != nil {
		return err
	}
	if c.EditID == "" {
		c.EditID = uuid.NewString()
	}
	req := &messenger.ApplyRequest{EditID: c.EditID, Operator: c.Operator, Text: text, Base: base}
	res, err := callControl(ctx, s, messenger.Apply, req)
	if errors.Is(err, errOutcomeUnknown) {
		return fmt.Errorf("%w\nrepeat the command with --edit-id %s --base %d to find out the result or complete the edit", err, c.EditID, base)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(console.Out, "accepted as revision %d (edit %s)\n", res.Revision, req.EditID)
	if c.Wait == 0 {
		return nil
	}
	return waitUntilInForce(ctx, console, s, res.Revision, c.Wait)
}

// resolveBase returns the revision that the edit is based on. It is read only once, so that all attempts send the same edit.
func (c *editFlags) resolveBase(ctx context.Context, s *session) (uint64, error) {
	if c.Base >= 0 {
		return uint64(c.Base), nil
	}
	current, err := callControl(ctx, s, messenger.Current, &messenger.CurrentRequest{})
	if err != nil {
		return 0, &Error{cherviltide.Fault{Op: "commands.resolveBase", Kind: cherviltide.KindUnavailable, Err: readError(err)}}
	}
	return current.Revision, nil
}

// waitUntilInForce waits until the data path of every live member uses a revision.
func waitUntilInForce(ctx context.Context, console console, s *session, revision uint64, timeout time.Duration) error {
	return pollStatus(ctx, console, s, timeout, func(res *messenger.StatusResponse) (bool, string) {
		var lagging []string
		live := 0
		for _, m := range res.Members {
			if m.State == cherviltide.StateDead {
				continue
			}
			live++
			if m.RevisionInForce < revision {
				lagging = append(lagging, fmt.Sprintf("%s (%d)", m.Member.Name, m.RevisionInForce))
			}
		}
		if !res.Confirmed {
			return false, "control has no leader"
		}
		if len(lagging) == 0 {
			return true, fmt.Sprintf("revision %d is in force at %d members", revision, live)
		}
		return false, fmt.Sprintf("revision %d is in force at %d of %d members; lagging: %s", revision, live-len(lagging), live, joinLimited(lagging))
	})
}

// maxListedNames bounds the names in one progress line.
const maxListedNames = 20

// joinLimited joins names, and gives the number of those beyond maxListedNames.
func joinLimited(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}

// pollStatus polls the status until done returns true. It prints the text that done returns whenever the text changes, and
// fails with the last text after the timeout.
func pollStatus(ctx context.Context, console console, s *session, timeout time.Duration, done func(*messenger.StatusResponse) (bool, string)) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lastText := "control did not answer"
	for {
		res, err := callControl(ctx, s, messenger.Status, &messenger.StatusRequest{})
		if err == nil {
			finished, text := done(res)
			if text != lastText {
				console.progress("%s", text)
			}
			lastText = text
			if finished {
				return nil
			}
		}
		if !runner.Sleep(ctx, pollInterval) {
			return &laggingError{text: fmt.Sprintf("after %s: %s", timeout, lastText)}
		}
	}
}
