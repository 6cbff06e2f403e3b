package launcher

import (
	"github.com/juju/errors"

	"cherviltide.example/cherviltide/messenger"
)

// StartControls starts only the control instances of a plan, without TLS, and does not wait until they are ready.
func StartControls(plan Plan) (*System, error) {
	s := newSystem(plan)
	s.client, s.scheme = messenger.NewClient(nil), messenger.Scheme(nil)
	if err := s.startControls(); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// RestartControl starts a control instance with the settings file of its first start.
func (s *System) RestartControl(name string) error {
	p, err := start(s.Plan.Dir, name, s.Plan.Binary, "control", "--settings", s.Plan.Dir+"/"+name+".json")
	if err != nil {
		return errors.Trace(err)
	}
	s.Processes[name] = p
	return nil
}
