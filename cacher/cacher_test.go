package cacher

import (
	"errors"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

var errUnreadable = errors.New("unreadable")

// countingParser counts its calls. The rules of a text have its length as their revision; an empty text is unreadable.
type countingParser struct{ calls atomic.Int64 }

func (p *countingParser) parse(text string) (cherviltide.Rules, error) {
	p.calls.Add(1)
	if text == "" {
		return cherviltide.Rules{}, errUnreadable
	}
	return cherviltide.Rules{Revision: uint64(len(text))}, nil
}

// TestParsesOnce guards against a text that each step of an edit parses again, and against rules of another text.
func TestParsesOnce(t *testing.T) {
	p := &countingParser{}
	c := New(p.parse)
	for range 3 {
		for _, text := range []string{"a", "bb"} {
			rules, err := c.Parse(text)
			require.NoError(t, err)
			require.EqualValues(t, len(text), rules.Revision)
			cached, ok := c.Cached(text)
			require.True(t, ok)
			require.Equal(t, rules, cached)
		}
	}
	require.EqualValues(t, 2, p.calls.Load())
	c.Add("ccc", cherviltide.Rules{Revision: 3})
	rules, err := c.Parse("ccc")
	require.NoError(t, err)
	require.EqualValues(t, 3, rules.Revision)
	require.EqualValues(t, 2, p.calls.Load())
	for range 2 {
		_, err = c.Parse("")
		require.ErrorIs(t, err, errUnreadable)
		_, ok := c.Cached("")
		require.False(t, ok)
	}
	require.EqualValues(t, 3, p.calls.Load())
}

// TestKeepsFewTexts guards against a cache that grows with each edit.
func TestKeepsFewTexts(t *testing.T) {
	p := &countingParser{}
	c := New(p.parse)
	for i := range 100 {
		_, err := c.Parse(string(make([]byte, 1+i)))
		require.NoError(t, err)
	}
	require.Len(t, c.entries, maxTexts)
	_, ok := c.Cached(string(make([]byte, 1)))
	require.False(t, ok)
	_, ok = c.Cached(string(make([]byte, 100)))
	require.True(t, ok)
}

// TestConcurrentParses guards against data races between steps of several edits.
func TestConcurrentParses(t *testing.T) {
	p := &countingParser{}
	c := New(p.parse)
	ends := make(chan error, 8)
	for i := range cap(ends) {
		go func() {
			_, err := c.Parse(string(make([]byte, 1+i%2)))
			c.Cached("x")
			ends <- err
		}()
	}
	for range cap(ends) {
		require.NoError(t, <-ends)
	}
	require.EqualValues(t, 2, p.calls.Load())
}

// TestPanicOfParser guards against a text that has empty rules because its parser panicked.
func TestPanicOfParser(t *testing.T) {
	c := New(func(string) (cherviltide.Rules, error) { panic("malformed") })
	require.Panics(t, func() { _, _ = c.Parse("a") })
	_, err := c.Parse("a")
	require.ErrorIs(t, err, errPanicked)
	_, ok := c.Cached("a")
	require.False(t, ok)
}
