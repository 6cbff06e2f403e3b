package messenger

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnpackDamagedRules guards against a malformed update that takes a follower down or uses up its memory.
func TestUnpackDamagedRules(t *testing.T) {
	packed, err := PackRules(&RulesUpdate{Revision: 3, Text: strings.Repeat("x", packMinBytes)})
	require.NoError(t, err)
	large, err := PackRules(&RulesUpdate{Text: strings.Repeat("x", maxUnpackedBytes)})
	require.NoError(t, err)
	for name, test := range map[string]struct {
		packed  []byte
		damaged bool
	}{
		"whole":           {packed, false},
		"empty":           {nil, false},
		"not packed":      {[]byte("text"), true},
		"cut off":         {packed[:len(packed)/2], true},
		"above the bound": {large, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := &FollowUpdate{PackedRules: test.packed}
			require.Equal(t, test.damaged, u.UnpackRules() != nil)
			require.Equal(t, name == "whole", u.Rules != nil)
		})
	}
}
