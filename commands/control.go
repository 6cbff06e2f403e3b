package commands

import (
	"context"
	"io"
	"net/http"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/controller"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/logger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/prober"
	"cherviltide.example/cherviltide/runner"
)

type controlCommand struct {
	Settings string   `arg:"required" help:"settings file (JSON)"`
	Set      []string `arg:"--set,separate" help:"NAME=VALUE overrides the file and the environment"`
}

func (c *controlCommand) run(ctx context.Context, _ io.Writer, log *logger.Log) error {
	var s loader.Control
	if err := loader.Read(c.Settings, &s, c.Set...); err != nil {
		return err
	}
	server, err := serverTLS(s.Process)
	if err != nil {
		return err
	}
	client, err := clientTLS(s.Process)
	if err != nil {
		return err
	}
	config := controller.Config{
		Name: s.Name, Listen: s.Listen, TLS: server, Clock: clock.NewSystem(), Log: log.Logger,
		Data: s.Data, Files: journaler.NewOSFileSystem(), Bootstrap: s.NewSystem,
		NewClient: func() *http.Client { return messenger.NewClient(client) },
	}
	for _, v := range s.Voters {
		config.Voters = append(config.Voters, controller.Voter{Name: v.Name, URL: messenger.Scheme(client) + v.Address.String()})
	}
	if len(config.Voters) == 0 {
		config.Voters, config.Bootstrap = []controller.Voter{{Name: s.Name}}, true
	}
	log.Info("ControlStarted", zap.String("Name", s.Name))
	control := controller.New(config)
	probe := prober.New(prober.Config{Listen: s.Probe, Ready: control.Ready})
	control.RegisterMetrics(probe)
	log.RegisterMetrics(probe)
	group := runner.NewGroup(ctx, 2)
	group.Go("control", control.Run)
	group.Go("probe", probe.Run)
	return group.Wait()
}
