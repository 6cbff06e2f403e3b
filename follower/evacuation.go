package follower

import (
	"slices"

	"go.uber.org/zap"
)

// logEvacuation logs that this process has learned that its own failure domain was evacuated or restored.
func (f *Follower) logEvacuation(before, after *View) {
	domain := f.Member().FailureDomain
	evacuated := slices.Contains(after.evacuated, domain)
	if evacuated == slices.Contains(before.evacuated, domain) {
		return
	}
	event := "OwnDomainRestored"
	if evacuated {
		event = "OwnDomainEvacuated"
	}
	f.config.Log.Info(event, zap.String("FailureDomain", domain), zap.Uint64("Position", after.Position))
}
