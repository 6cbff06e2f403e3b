package commands

import (
	"context"
	"errors"
	"fmt"

	"cherviltide.example/cherviltide/loader"
	"cherviltide.example/cherviltide/speller"
)

type settingsCommand struct {
	Role string   `arg:"required" help:"entry, agent or control"`
	File string   `arg:"positional,required" help:"settings file (JSON)"`
	Set  []string `arg:"--set,separate" help:"NAME=VALUE overrides the file and the environment"`
	JSON bool     `arg:"--json" help:"print JSON instead of a table"`
}

func (c *settingsCommand) examples() string {
	return "cherviltide settings --role agent agent.json --set Slots=3"
}

// settingsRoles are the roles that have settings.
var settingsRoles = []string{"entry", "agent", "control"}

// newSettings returns the empty settings of a role, and false for an unknown role.
func newSettings(role string) (settings any, ok bool) {
	roles := map[string]any{"entry": &loader.Entry{}, "agent": &loader.Agent{}, "control": &loader.Control{}}
	settings, ok = roles[role]
	return settings, ok
}

func (c *settingsCommand) execute(_ context.Context, console console) error {
	settings, ok := newSettings(c.Role)
	if !ok {
		return &usageError{fmt.Errorf("found role %q, expected %s", c.Role, speller.JoinOr(settingsRoles))}
	}
	values, err := loader.ReadWithSources(c.File, settings, c.Set...)
	var e *loader.Error
	if errors.As(err, &e) {
		return fmt.Errorf("%s is not usable:\n%w", c.File, e.Err)
	}
	if err != nil {
		return err
	}
	if c.JSON {
		return console.printJSON(values)
	}
	t := newTable("Name", "Value", "Unit", "Source")
	for _, v := range values {
		t.addRow(v.Name, v.Text, v.Unit, v.Source)
	}
	return t.write(console.Out)
}
