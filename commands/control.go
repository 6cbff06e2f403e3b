package commands

import (
	"context"
	"io"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/controller"
	"cherviltide.example/cherviltide/loader"
)

type controlCommand struct {
	Settings string   `arg:"required" help:"settings file (JSON)"`
	Set      []string `arg:"--set,separate" help:"NAME=VALUE overrides the file and the environment"`
}

func (c *controlCommand) run(ctx context.Context, _ io.Writer, log *zap.Logger) error {
	var s loader.Control
	if err := loader.Read(c.Settings, &s, c.Set...); err != nil {
		return err
	}
	server, err := serverTLS(s.Process)
	if err != nil {
		return err
	}
	log.Info("ControlStarted", zap.String("Name", s.Name))
	return controller.New(controller.Config{
		Name: s.Name, Listen: s.Listen, TLS: server, Clock: clock.NewSystem(), Log: log,
	}).Run(ctx)
}
