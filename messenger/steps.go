package messenger

import "cherviltide.example/cherviltide/voter"

// Step delivers messages from one voter of a group to another.
var Step = Procedure[StepRequest, StepResponse]{path: "/cherviltide.Control/Step"}

// StepRequest has messages from one voter to another.
type StepRequest struct {
	Group    string
	Messages []voter.Message
}

// StepResponse confirms that the messages were received.
type StepResponse struct{}
