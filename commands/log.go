package commands

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLog returns the log of a daemon: JSON lines on the standard error, one event a line. Within a second, after the
// first 100 lines of an event only every 100th is written, so that a flood of requests does not fill the disk.
func newLog() (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = "Time"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.LevelKey = "Level"
	config.EncoderConfig.MessageKey = "Event"
	config.EncoderConfig.NameKey = ""
	return config.Build()
}
