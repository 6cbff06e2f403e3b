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

// edit has the flags of the commands that make a revision.
type edit struct {
	remote
	Operator string        `arg:"--operator,env:USER" help:"who makes the edit"`
	EditID   string        `arg:"--edit-id" help:"repeat the ID of an edit whose answer was lost"`
	Base     int64         `arg:"--base" default:"-1" help:"revision that was edited; -1 for the current one"`
	Wait     time.Duration `arg:"--wait" help:"wait until the revision is in force everywhere, at most this long"`
}

type applyCommand struct {
	edit
	File string `arg:"positional,required" help:"rules file"`
}

func (c *applyCommand) examples() string {
	return "cherviltide apply rules --control 127.0.0.1:7400 --operator rita --wait 30s"
}

func (c *applyCommand) operate(ctx context.Context, console console) error {
	text, err := readRules(c.File)
	if err != nil {
		return err
	}
	if _, err := parser.Parse(text); err != nil {
		return inFile(c.File, err)
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	return c.submit(ctx, console, s, text)
}

type rollbackCommand struct {
	edit
	Revision uint64 `arg:"positional,required" help:"revision whose content comes into force again"`
}

func (c *rollbackCommand) examples() string {
	return "cherviltide rollback 12 --control 127.0.0.1:7400 --operator rita"
}

func (c *rollbackCommand) operate(ctx context.Context, console console) error {
	s, err := c.open()
	if err != nil {
		return err
	}
	res, err := ask(ctx, s, messenger.History, &messenger.HistoryRequest{Newest: c.Revision, Limit: 1, WithText: true})
	if err != nil {
		return err
	}
	if len(res.Revisions) == 0 || res.Revisions[0].Revision != c.Revision {
		return &Error{cherviltide.Fault{Op: "commands.rollback", Kind: cherviltide.KindInvalid, Err: fmt.Errorf("control has no revision %d", c.Revision)}}
	}
	return c.submit(ctx, console, s, res.Revisions[0].Text)
}

// submit sends an edit, with the same ID at each attempt, and prints the revision that it became.
func (c *edit) submit(ctx context.Context, console console, s *session, text string) error {
	if c.Operator == "" {
		return &usageError{errors.New("--operator is required")}
	}
	base, err := c.base(ctx, s)
	if err != nil {
		return err
	}
	if c.EditID == "" {
		c.EditID = uuid.NewString()
	}
	req := &messenger.ApplyRequest{EditID: c.EditID, Operator: c.Operator, Text: text, Base: base}
	res, err := ask(ctx, s, messenger.Apply, req)
	if errors.Is(err, errUnknown) {
		return fmt.Errorf("%w\nrepeat the command with --edit-id %s --base %d to learn or complete the result", err, c.EditID, base)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(console.Out, "accepted as revision %d (edit %s)\n", res.Revision, req.EditID)
	if c.Wait == 0 {
		return nil
	}
	return waitInForce(ctx, console, s, res.Revision, c.Wait)
}

// base returns the revision that the edit starts from. It is read once, so that repeated attempts stay the same edit.
func (c *edit) base(ctx context.Context, s *session) (uint64, error) {
	if c.Base >= 0 {
		return uint64(c.Base), nil
	}
	current, err := ask(ctx, s, messenger.Current, &messenger.CurrentRequest{})
	if err != nil {
		return 0, &Error{cherviltide.Fault{Op: "commands.base", Kind: cherviltide.KindUnavailable, Err: unwrapUnknown(err)}}
	}
	return current.Revision, nil
}

// waitInForce waits until the data path of every living member uses a revision.
func waitInForce(ctx context.Context, console console, s *session, revision uint64, bound time.Duration) error {
	return await(ctx, console, s, bound, func(res *messenger.StatusResponse) (bool, string) {
		var behind []string
		living := 0
		for _, m := range res.Members {
			if m.State == cherviltide.StateDead {
				continue
			}
			living++
			if m.RevisionInForce < revision {
				behind = append(behind, fmt.Sprintf("%s (%d)", m.Member.Name, m.RevisionInForce))
			}
		}
		if !res.Confirmed {
			return false, "control has no leader"
		}
		if len(behind) == 0 {
			return true, fmt.Sprintf("revision %d is in force at %d members", revision, living)
		}
		return false, fmt.Sprintf("revision %d is in force at %d of %d members; lagging: %s", revision, living-len(behind), living, list(behind))
	})
}

// maxListed bounds the names in one line of progress.
const maxListed = 20

func list(names []string) string {
	if len(names) <= maxListed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListed], ", "), len(names)-maxListed)
}

// await polls the status until done, prints each change of the text, and fails with the last text after the bound.
func await(ctx context.Context, console console, s *session, bound time.Duration, done func(*messenger.StatusResponse) (bool, string)) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	last := "control did not answer"
	for {
		res, err := ask(ctx, s, messenger.Status, &messenger.StatusRequest{})
		if err == nil {
			finished, text := done(res)
			if text != last {
				console.progress("%s", text)
			}
			last = text
			if finished {
				return nil
			}
		}
		if !runner.Sleep(ctx, pollInterval) {
			return &laggingError{text: fmt.Sprintf("after %s: %s", bound, last)}
		}
	}
}
