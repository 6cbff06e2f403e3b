package follower

import "cherviltide.example/cherviltide"

// Error is a failure to follow control or to announce to it.
type Error struct{ cherviltide.Fault }
