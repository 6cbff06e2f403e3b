package messenger

import "cherviltide.example/cherviltide/claimer"

// The procedures between agents.
var (
	Claim  = Procedure[ClaimRequest, ClaimResponse]{path: "/cherviltide.Agent/Claim"}
	Settle = Procedure[SettleRequest, SettleResponse]{path: "/cherviltide.Agent/Settle"}
)

// ClaimRequest asks the home of an at-most-once key for the right to run.
type ClaimRequest struct {
	Claim claimer.Claim
}

// ClaimResponse is the home's answer.
type ClaimResponse struct {
	Verdict claimer.Verdict
}

// SettleRequest reports the end of an execution to the key's home.
type SettleRequest struct {
	Settlement claimer.Settlement
}

// SettleResponse tells whether the settlement belongs to the key's present attempt.
type SettleResponse struct {
	Accepted bool
}
