package logger

import (
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
)

// EditNumber returns the field of an edit's number, which is left out if there is none.
func EditNumber(key string, n cherviltide.EditNumber) zap.Field {
	value, isSet := n.Value()
	if !isSet {
		return zap.Skip()
	}
	return zap.Uint64(key, value)
}
