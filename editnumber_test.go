package cherviltide_test

import (
	"fmt"
	"math"
	"math/big"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestEditNumber guards against numbers that are taken for a missing one, and against files of earlier versions, which have the
// number plus 1 in 64 bits, that are read differently.
func TestEditNumber(t *testing.T) {
	numbers := []cherviltide.EditNumber{
		{}, cherviltide.NewEditNumber(0), cherviltide.NewEditNumber(1), cherviltide.NewEditNumber(1 << 53), cherviltide.NewEditNumber(1<<53 + 1),
		cherviltide.NewEditNumber(math.MaxInt64), cherviltide.NewEditNumber(math.MaxInt64 + 1),
		cherviltide.NewEditNumber(math.MaxUint64 - 1), cherviltide.NewEditNumber(math.MaxUint64),
	}
	for i, n := range numbers {
		data, err := cbor.Marshal(n)
		require.NoError(t, err)
		var decoded cherviltide.EditNumber
		require.NoError(t, cbor.Unmarshal(data, &decoded))
		require.Equal(t, n, decoded)
		for j, other := range numbers {
			require.Equal(t, i > j, n.IsAbove(other), "%v above %v", n, other)
		}
		value, isSet := n.Value()
		require.Equal(t, i > 0, isSet)
		if isSet && value < math.MaxUint64 {
			var earlier uint64
			require.NoError(t, cbor.Unmarshal(data, &earlier))
			require.Equal(t, value+1, earlier)
		}
	}
	for name, invalid := range map[string]any{
		"negative": -1, "text": "7", "fraction": 1.5, "too large": new(big.Int).Lsh(big.NewInt(1), 65), "list": []int{1},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := cbor.Marshal(invalid)
			require.NoError(t, err)
			var n cherviltide.EditNumber
			require.Error(t, cbor.Unmarshal(data, &n), fmt.Sprint(invalid))
		})
	}
}
