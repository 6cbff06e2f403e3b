// Package logger writes the structured log of a process. Lines are bounded in number for each event, and pass through a
// bounded queue, so that a slow or stopped reader of the output never delays the process.
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

// Bounds of the log.
const (
	// first is how many lines of one event are written in a second; of those after them every further one of each.
	first   = 200
	further = 1000
	// queueSize is the number of lines between the process and the output.
	queueSize = 4096
	// gatherSize bounds the lines of one write, in bytes.
	gatherSize = 64 << 10
	// countInterval is the time between two lines about lines that were left out.
	countInterval = 10 * time.Second
	// parts is the number of goroutines of a log.
	parts = 2
	// pulseInterval is the time between two looks at the clock, and pauseLeast the time beyond it after which the process
	// was paused: frozen, or without a processor.
	pulseInterval = 500 * time.Millisecond
	pauseLeast    = 500 * time.Millisecond
	// closeTimeout bounds the wait for the output at the end.
	closeTimeout = 500 * time.Millisecond
)

// Log is a structured log with its queue.
type Log struct {
	*zap.Logger
	queue chan []byte
	// sampled counts lines left out because of their number, dropped those that found the queue full.
	sampled, dropped atomic.Uint64
	cancel           context.CancelFunc
	ends             chan runner.Exit
	once             sync.Once
}

// New returns a log that writes JSON lines to out until Close.
func New(out io.Writer) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{queue: make(chan []byte, queueSize), cancel: cancel, ends: make(chan runner.Exit, parts)}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), zapcore.AddSync(l), zapcore.InfoLevel)
	l.Logger = zap.New(zapcore.NewSamplerWithOptions(core, time.Second, first, further, zapcore.SamplerHook(l.count)))
	runner.Start(ctx, "log", l.ends, func(ctx context.Context) error { return l.run(ctx, out) })
	runner.Start(ctx, "pauses", l.ends, l.watch)
	return l
}

func encoding() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.LevelKey = "Level"
	config.MessageKey = "Event"
	config.NameKey = ""
	return config
}

func (l *Log) count(_ zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped != 0 {
		l.sampled.Add(1)
	}
}

// Write queues a line. It never blocks and never fails; a line that finds the queue full is counted.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sampled returns the number of lines that were left out because their event had too many in a second.
func (l *Log) Sampled() uint64 { return l.sampled.Load() }

// Dropped returns the number of lines that were lost because the output was too slow.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// RegisterMetrics adds the log's counters to what a process shows.
func (l *Log) RegisterMetrics(metrics interface {
	Metric(name string, value func() any)
}) {
	metrics.Metric("Log.Sampled", func() any { return l.Sampled() })
	metrics.Metric("Log.Dropped", func() any { return l.Dropped() })
}

// Close writes what is queued and ends the log. It does not wait for an output that takes nothing.
func (l *Log) Close() {
	l.once.Do(func() {
		l.cancel()
		timeout := time.After(closeTimeout)
		for range parts {
			select {
			case <-l.ends:
			case <-timeout:
				return
			}
		}
	})
}

// run writes gathered lines until ctx ends and the queue is empty.
func (l *Log) run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	var sampled, dropped uint64
	for {
		select {
		case line := <-l.queue:
			if err := write(out, l.gather(line)); err != nil {
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

// watch writes a line after a time in which the process did not run. It does not share the writer's goroutine, which a
// reader of the output can stop.
func (l *Log) watch(ctx context.Context) error {
	ticker := time.NewTicker(pulseInterval)
	defer ticker.Stop()
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if gap := time.Since(last); gap > pulseInterval+pauseLeast {
			l.Warn("ProcessPaused", zap.Int64("Ms", (gap-pulseInterval).Milliseconds()))
		}
	}
}

// gather adds the lines that came during the last write. It waits for none, so that a process that is killed has written
// what it logged before.
func (l *Log) gather(lines []byte) []byte {
	for len(lines) < gatherSize && len(l.queue) > 0 {
		lines = append(lines, <-l.queue...)
	}
	return lines
}

// flush writes what is queued.
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
