package logger

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *syncBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

// blockedWriter is an output whose reader has stopped: writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestLines guards against lines that are lost by Close or are not valid JSON.
func TestLines(t *testing.T) {
	out := &syncBuffer{}
	l := New(out)
	l.Info("FlowOpened", zap.Int("Flow", 7))
	l.Warn("TargetSilent")
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.b.String()), "\n")
	require.Len(t, lines, 2)
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
	require.Equal(t, "FlowOpened", line["Event"])
	require.Equal(t, "info", line["Level"])
	require.EqualValues(t, 7, line["Flow"])
	require.Contains(t, line, "Time")
}

// TestSampling guards against a log that grows with the load, and against lines that are left out without being counted.
func TestSampling(t *testing.T) {
	out := &syncBuffer{}
	l := New(out)
	const lines = 100 * samplingInitial
	for range lines {
		l.Info("FlowOpened")
	}
	l.Info("TargetSilent")
	l.Close()
	written := strings.Count(out.b.String(), "\n")
	require.Less(t, written, lines/2)
	require.EqualValues(t, lines+1, uint64(written)+l.Sampled()+l.Dropped())
	require.Contains(t, out.b.String(), "TargetSilent", "sampling of one event left out another event")
}

// TestStoppedReader guards against a process that blocks when the reader of its log has stopped.
func TestStoppedReader(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	l := New(w)
	defer close(w.release)
	for i := range 3 * queueSize {
		// The events differ, so that the queue is the limit and not the sampling.
		l.Info("Event" + string(rune('A'+i%20)) + strings.Repeat("x", i/(20*samplingInitial)))
	}
	require.Positive(t, l.Dropped())
	l.Close()
}

// TestLinesAreWrittenAtOnce guards against buffered lines that are lost when the process is killed.
func TestLinesAreWrittenAtOnce(t *testing.T) {
	read, write := io.Pipe()
	l := New(write)
	defer l.Close()
	defer func() { _ = read.Close() }()
	l.Info("Admitted")
	line := make([]byte, 1024)
	n, err := read.Read(line)
	require.NoError(t, err)
	require.Contains(t, string(line[:n]), "Admitted", "the line was not written before another line or the end of the process")
}
