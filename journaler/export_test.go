package journaler

// EarlierFrame returns a record as versions without a file header framed it.
func EarlierFrame(payload []byte) []byte { return unmarkedLayout.frame(0, payload) }
