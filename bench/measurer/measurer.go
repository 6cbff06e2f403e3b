package measurer

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/juju/errors"
)

// Case is a measurement. Run calls emit for each result.
type Case struct {
	Name string
	Run  func(ctx context.Context, seed uint64, emit func(Line)) error
}

// cases has all measurements in the order in which they are executed.
var cases = []Case{
	{"system-planned", systemPlanned},
	{"system-crash", systemCrashed},
	{"connections", measureConnections},
	{"distribution-targets", distributionTargets},
	{"distribution-services", distributionServices},
	{"catch-up", measureCatchUp},
	{"thin-links", thinLinks},
	{"control-accept", controlAccept},
	{"control-restart", controlRestart},
	{"journal-replay", journalReplay},
	{"admission", runAdmission},
	{"overload", runOverload},
	{"warm-up", runWarmUp},
	{"hard-load-links", runHardLoadLinks},
	{"cuts", runCuts},
	{"transfers", runTransfers},
	{"grey", runGrey},
	{"hard-load", runHardLoad},
	{"at-most-once", runClaims},
	{"placement-add", placementAdd},
	{"placement-drain", placementDrain},
	{"placement-crash", placementCrash},
	{"placement-double-crash", placementDoubleCrash},
	{"placement-entry-loss", placementEntryLoss},
	{"placement-lagging-entries", placementLaggingEntries},
}

// Run runs the case with the given name, or all cases when the name is empty. The plot gets the results over time.
func Run(ctx context.Context, out io.Writer, name string, seed uint64, plot *Plot) error {
	encoder := json.NewEncoder(out)
	var names []string
	found := false
	for _, c := range cases {
		names = append(names, c.Name)
		if name != "" && name != c.Name {
			continue
		}
		found = true
		emit := func(l Line) {
			l.Case, l.Seed = c.Name, seed
			if l.Variant == "" {
				l.Variant = "Default"
			}
			_ = encoder.Encode(l)
			plot.add(l)
		}
		if err := c.Run(ctx, seed, emit); err != nil {
			return errors.Annotatef(err, "case %s", c.Name)
		}
	}
	if !found && name != "" {
		return errors.Errorf("there is no case %q; the cases are %s", name, strings.Join(names, ", "))
	}
	return nil
}
