package follower

import "cherviltide.example/cherviltide"

// Error is a failure to follow control or to send announcements to it.
type Error struct{ cherviltide.Fault }
