package messenger

import "cherviltide.example/cherviltide/claimer"

// The procedures between agents.
var (
	Claim  = Procedure[ClaimRequest, ClaimResponse]{path: "/cherviltide.Agent/Claim"}
	Settle = Procedure[SettleRequest, SettleResponse]{path: "/cherviltide.Agent/Settle"}
)

// ClaimRequest asks the home agent of an idempotency key for the right to execute a request.
type ClaimRequest struct {
	Claim claimer.Claim
}

// ClaimResponse is the home agent's answer to a claim.
type ClaimResponse struct {
	Verdict claimer.Verdict
}

// SettleRequest reports the end of an execution to the key's home agent.
type SettleRequest struct {
	Settlement claimer.Settlement
}

// SettleResponse tells whether the settlement applied to the current attempt of the key.
type SettleResponse struct {
	Accepted bool
}
