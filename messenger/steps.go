package messenger

import "cherviltide.example/cherviltide/voter"

// Step carries messages between the voters of a group.
var Step = Procedure[StepRequest, StepResponse]{path: "/cherviltide.Control/Step"}

// StepRequest has messages of one voter to another.
type StepRequest struct {
	Group    string
	Messages []voter.Message
}

// StepResponse tells that the messages were received.
type StepResponse struct{}
