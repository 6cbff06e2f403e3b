package launcher

import (
	"github.com/juju/errors"

	"cherviltide.example/cherviltide/messenger"
)

// StartControls starts the control instances of a plan and nothing else. It does not wait for them.
func StartControls(plan Plan) (*System, error) {
	s := newSystem(plan)
	s.client, s.scheme = messenger.NewClient(nil), messenger.Scheme(nil)
	if err := s.startControls(); err != nil {
		s.Stop()
		return nil, errors.Trace(err)
	}
	return s, nil
}

// Restart starts a control instance again with the settings that it had.
func (s *System) Restart(name string) error {
	p, err := start(s.Plan.Folder, name, s.Plan.Binary, "control", "--settings", s.Plan.Folder+"/"+name+".json")
	if err != nil {
		return errors.Trace(err)
	}
	s.Processes[name] = p
	return nil
}
