package auditor_test

// row is one case of the fault matrix.
type row struct {
	fault, step, invariant string
	// folder and test name the proof; both are empty when there is none.
	folder, test string
	seed         string
	// toggle is the test or option that shows the failure with the mechanism off.
	toggle string
	result string
}

// Results of a case.
const (
	passes    = "passes"
	notProved = "not proved"
)

var matrix = []row{
	{fault: "entry stops as planned", step: "download under way", invariant: "I1, I7", folder: "bench/launcher", test: "TestDownloadSurvivesChanges", seed: "1", result: passes},
	{fault: "agent stops as planned", step: "download under way", invariant: "I1, I7", folder: "bench/launcher", test: "TestDownloadSurvivesChanges", seed: "1", result: passes},
	{fault: "target joins and entry is killed", step: "download under way", invariant: "I1", folder: "bench/launcher", test: "TestDownloadSurvivesChanges", seed: "1", result: passes},
	{fault: "agent stops as planned", step: "new requests", invariant: "I6", folder: "bench/launcher", test: "TestLeavingTargetGetsNothingNew", seed: "1", result: passes},
	{fault: "agent is killed", step: "new requests after its lease", invariant: "I3", folder: "bench/launcher", test: "TestCrashedTargetIsReplaced", seed: "1", result: passes},
	{fault: "caller with an unknown customer", step: "request", invariant: "I3", folder: "bench/launcher", test: "TestUnknownCustomerIsRefused", seed: "1", result: passes},
	{fault: "none", step: "requests to two services", invariant: "I2", folder: "bench/launcher", test: "TestServicesStayApart", seed: "1", result: passes},
}
