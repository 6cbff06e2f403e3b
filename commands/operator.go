package commands

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide/messenger"
)

// remote names the control instances for an operator command.
type remote struct {
	Control []netip.AddrPort `arg:"required,--control" help:"addresses of control instances"`
}

// ask runs f against the control instances in turn until one answers.
func (r remote) ask(f func(base string) error) error {
	var err error
	for _, a := range r.Control {
		if err = f("http://" + a.String()); err == nil {
			return nil
		}
	}
	return err
}

type applyCommand struct {
	remote
	File     string `arg:"positional,required" help:"rules file"`
	Operator string `arg:"--operator,env:USER" help:"who applies the file"`
	EditID   string `arg:"--edit-id" help:"repeat the ID of an edit whose answer was lost"`
	Base     int64  `arg:"--base" default:"-1" help:"revision that was edited; -1 for the current one"`
}

func (c *applyCommand) run(ctx context.Context, out io.Writer, _ *zap.Logger) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	client := messenger.NewClient(nil)
	req := &messenger.ApplyRequest{EditID: c.EditID, Operator: c.Operator, Text: string(text), Base: uint64(max(c.Base, 0))}
	if req.EditID == "" {
		req.EditID = uuid.NewString()
	}
	return c.ask(func(base string) error {
		if c.Base < 0 {
			current, err := messenger.Current.Call(ctx, client, base, &messenger.CurrentRequest{})
			if err != nil {
				return err
			}
			req.Base = current.Revision
		}
		res, err := messenger.Apply.Call(ctx, client, base, req)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "accepted as revision %d (edit %s)\n", res.Revision, req.EditID)
		return err
	})
}

type statusCommand struct {
	remote
}

func (c *statusCommand) run(ctx context.Context, out io.Writer, _ *zap.Logger) error {
	client := messenger.NewClient(nil)
	return c.ask(func(base string) error {
		res, err := messenger.Status.Call(ctx, client, base, &messenger.StatusRequest{})
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
		_, _ = fmt.Fprintf(w, "Revision %d, membership position %d\n", res.Revision, res.Position)
		_, _ = fmt.Fprintln(w, "Name\tRole\tService\tFailureDomain\tState\tSeen\tInForce")
		for _, m := range res.Members {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", m.Member.Name, m.Member.Role, m.Member.Service,
				m.Member.FailureDomain, m.State, m.RevisionSeen, m.RevisionInForce)
		}
		return w.Flush()
	})
}
