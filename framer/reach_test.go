package framer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/framer"
)

// TestShortReach guards against probes and echoes with the short header that lose a field, are as long as the full header, or are
// accepted when they are damaged or of another key.
func TestShortReach(t *testing.T) {
	f := framer.New([16]byte{1, 2, 3})
	for name, kind := range map[string]framer.Type{"probe": framer.TypeReachProbe, "echo": framer.TypeReachEcho} {
		t.Run(name, func(t *testing.T) {
			want := framer.Header{Type: kind, Generation: 1<<40 + 7, Position: framer.PositionShortReach}
			payload := make([]byte, framer.MaxReachPayload)
			payload[3] = 'a'
			b := f.AppendReach(nil, want, payload)
			require.Less(t, len(b), framer.HeaderSize)
			h, got, err := f.Decode(b)
			require.NoError(t, err)
			require.Equal(t, want, h)
			require.Equal(t, payload, got)
			for i := range b {
				_, _, err := f.Decode(b[:i])
				require.Error(t, err, i)
				b[i]++
				_, _, err = f.Decode(b)
				require.Error(t, err, i)
				b[i]--
			}
			_, _, err = framer.New([16]byte{9}).Decode(b)
			require.ErrorIs(t, err, framer.ErrTag)
			require.Len(t, f.AppendReach(nil, want, nil), framer.ReachHeaderSize)
		})
	}
}
