package controller

import (
	"context"

	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/registrar"
)

func (c *Controller) apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	if _, err := parser.Parse(req.Text); err != nil {
		return nil, err
	}
	edit := registrar.Edit{ID: req.EditID, Operator: req.Operator, Base: req.Base, Text: req.Text, Time: c.config.Clock.Now()}
	entry, err := registrar.Encode(edit)
	if err != nil {
		return nil, err
	}
	var number uint64
	var refused error
	err = c.do(ctx, func() {
		c.registrar.Apply(0, entry)
		number, refused = c.registrar.Result(edit)
		c.publish()
	})
	if err == nil {
		err = refused
	}
	return &messenger.ApplyResponse{Revision: number}, err
}

func (c *Controller) current(ctx context.Context, _ *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
	res := &messenger.CurrentResponse{Confirmed: true}
	err := c.do(ctx, func() {
		current := c.registrar.Current()
		res.Revision, res.Text = current.Number, current.Edit.Text
	})
	return res, err
}
