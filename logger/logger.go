// Package logger writes the structured log of a process. The lines of each event are sampled above a rate limit. All lines
// pass through a bounded queue, so that a slow or stopped reader of the output never delays the process.
package logger

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cherviltide.example/cherviltide/runner"
)

// Limits of the log.
const (
	// In each second, the first samplingInitial lines of an event are written, and then one of every samplingThereafter
	// lines.
	samplingInitial    = 200
	samplingThereafter = 1000
	// queueSize is the number of lines that can wait for the output.
	queueSize = 4096
	// maxBatchSize is the size at which no more lines are added to a batch, in bytes.
	maxBatchSize = 64 << 10
	// leftOutInterval is the interval at which a LinesLeftOut event reports lines that were left out since the last one.
	leftOutInterval = 10 * time.Second
	// goroutines is the number of goroutines of a log.
	goroutines = 2
	// pauseCheckInterval is the time between two checks of the clock. If minPause more than that has passed, the process was
	// paused: it was frozen or got no processor time.
	pauseCheckInterval = 500 * time.Millisecond
	minPause           = 500 * time.Millisecond
	// closeTimeout is how long Close waits for the output.
	closeTimeout = 500 * time.Millisecond
)

// Log is a structured log with a queue between the process and the output.
type Log struct {
	*zap.Logger
	queue chan []byte
	// sampled counts the lines left out by sampling, dropped those left out because the queue was full.
	sampled, dropped atomic.Uint64
	cancel           context.CancelFunc
	exits            chan runner.Exit
	once             sync.Once
}

// New returns a log that writes JSON lines to out until Close.
func New(out io.Writer) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{queue: make(chan []byte, queueSize), cancel: cancel, exits: make(chan runner.Exit, goroutines)}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoderConfig()), zapcore.AddSync(l), zapcore.InfoLevel)
	l.Logger = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, samplingInitial, samplingThereafter, zapcore.SamplerHook(l.countSampled)))
	runner.Start(ctx, "log", l.exits, func(ctx context.Context) error { return l.writeQueue(ctx, out) })
	runner.Start(ctx, "pauses", l.exits, l.detectPauses)
	return l
}

// encoderConfig names the fields that each line has: Time, Level and Event.
func encoderConfig() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.LevelKey = "Level"
	config.MessageKey = "Event"
	config.NameKey = ""
	return config
}

// countSampled is the hook of the sampler; it counts the lines that the sampler drops.
func (l *Log) countSampled(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.sampled.Add(1)
	}
}

// Write queues a line. It never blocks and never fails; if the queue is full, the line is dropped and counted.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sampled returns the number of lines left out by sampling, because their event had too many lines in a second.
func (l *Log) Sampled() uint64 { return l.sampled.Load() }

// Dropped returns the number of lines dropped because the output was too slow and the queue full.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// RegisterMetrics adds the log's counters to what a process shows.
func (l *Log) RegisterMetrics(metrics interface {
	Metric(name string, value func() any)
}) {
	metrics.Metric("Log.Sampled", func() any { return l.Sampled() })
	metrics.Metric("Log.Dropped", func() any { return l.Dropped() })
}

// Close writes the queued lines and stops the log. It waits at most closeTimeout for an output that does not accept them.
func (l *Log) Close() {
	l.once.Do(func() {
		l.cancel()
		timeout := time.After(closeTimeout)
		for range goroutines {
			select {
			case <-l.exits:
			case <-timeout:
				return
			}
		}
	})
}

// writeQueue writes the queued lines in batches until ctx ends and the queue is empty.
func (l *Log) writeQueue(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(leftOutInterval)
	defer ticker.Stop()
	var sampled, dropped uint64
	for {
		select {
		case line := <-l.queue:
			if err := write(out, l.batch(line)); err != nil {
				return err
			}
		case <-ticker.C:
			if s, d := l.Sampled(), l.Dropped(); s != sampled || d != dropped {
				l.Warn("LinesLeftOut", zap.Uint64("Sampled", s-sampled), zap.Uint64("Dropped", d-dropped))
				sampled, dropped = s, d
			}
		case <-ctx.Done():
			return l.flush(out)
		}
	}
}

// detectPauses logs a ProcessPaused event after a time in which the process did not run. It has its own goroutine, because a
// stopped reader of the output blocks the writing one.
func (l *Log) detectPauses(ctx context.Context) error {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if gap := time.Since(last); gap > pauseCheckInterval+minPause {
			l.Warn("ProcessPaused", zap.Int64("Ms", (gap-pauseCheckInterval).Milliseconds()))
		}
	}
}

// batch appends the lines that were queued during the last write. It does not wait for more lines, so that a killed process
// has already written what it logged before.
func (l *Log) batch(lines []byte) []byte {
	for len(lines) < maxBatchSize && len(l.queue) > 0 {
		lines = append(lines, <-l.queue...)
	}
	return lines
}

// flush writes all queued lines.
func (l *Log) flush(out io.Writer) error {
	var lines []byte
	for len(l.queue) > 0 {
		lines = append(lines, <-l.queue...)
	}
	return write(out, lines)
}

func write(out io.Writer, lines []byte) error {
	_, err := out.Write(lines)
	return err
}
