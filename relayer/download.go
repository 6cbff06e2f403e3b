package relayer

import "cherviltide.example/cherviltide"

const (
	// promptFactor is the multiple of the mean service time within which an answer counts as not delayed by a wait for a slot.
	// Service times spread around their mean; a wait for a download takes longer.
	promptFactor = 2
	// A target gives its slots back with the first byte of an answer when at least promptShare of the requests beside full
	// slots have prompt answers, after minPrompt of them. With the spread of service times, 0.85 to 0.9 of them are expected.
	promptShare = 0.75
	minPrompt   = 16
	// promptWeight is the weight of one such request. The estimate follows a change of the target within some dozen requests.
	promptWeight = 1.0 / 32
)

// promptness tells whether the target gives its slot back when the answer of a download begins. Requests that it gets while the
// requests in work and the downloads that move exceed its slots show this: they wait when downloads hold slots.
type promptness struct {
	share float64
	count int
}

func (p *promptness) add(prompt bool) {
	sample := 0.0
	if prompt {
		sample = 1
	}
	p.count++
	p.share += (sample - p.share) * max(promptWeight, 1/float64(p.count))
}

// slotsAreFree reports whether downloads hold no slots while only their bytes move.
func (p *promptness) slotsAreFree() bool { return p.count >= minPrompt && p.share >= promptShare }

// startSending updates a bulky flow after a full packet of its answer. It gives its slot back when the target does.
func (d *Decider) startSending(f *flow) {
	if !f.bulky || f.sending || !f.active {
		return
	}
	f.sending = true
	d.load.sending++
	if d.load.promptness.slotsAreFree() {
		d.releaseSlot(f)
	}
}

func (d *Decider) stopSending(f *flow) {
	if f.sending {
		f.sending = false
		d.load.sending--
	}
}

// isBesideSending reports whether the target could not work on its requests if downloads held slots, while it has a slot for
// each request.
func (d *Decider) isBesideSending() bool {
	return d.load.working <= d.target.Slots && d.load.working+d.load.sending > d.target.Slots
}

// observePromptness records whether a request beside downloads had a prompt answer. Answers after which the downloads have
// ended show nothing.
func (d *Decider) observePromptness(f *flow, serviceTime cherviltide.Millis) {
	usual := d.load.serviceTime.value
	if f.besideSending && d.isBesideSending() && usual > 0 {
		d.load.promptness.add(float64(serviceTime) <= promptFactor*usual)
	}
}
