// Package cacher keeps the rules of the last texts that were parsed, so that the steps of one edit in a process parse its text
// once.
package cacher

import (
	"errors"
	"sync"

	"cherviltide.example/cherviltide"
)

// Error means that a text has no rules because its parser failed unexpectedly.
type Error struct{ cherviltide.Fault }

var errPanicked = errors.New("the parser panicked")

// maxTexts is the number of texts whose rules are kept: the accepted one and those that are about to replace it.
const maxTexts = 3

// Cacher parses texts. It is safe for concurrent use.
type Cacher struct {
	parser cherviltide.RulesParser
	mu     sync.Mutex
	// entries are the last texts, newest use first; at most maxTexts.
	entries []*entry
}

// entry is a text with its rules, which are valid once parsed has run.
type entry struct {
	text   string
	parsed sync.Once
	rules  cherviltide.Rules
	err    error
	// done is true once rules and err are valid; the lock of the Cacher protects it.
	done bool
}

// New returns a cacher of the results of a parser.
func New(parser cherviltide.RulesParser) *Cacher {
	return &Cacher{parser: parser}
}

// Parse returns the rules of a text. Concurrent calls with the same text parse it once.
func (c *Cacher) Parse(text string) (cherviltide.Rules, error) {
	e := c.entry(text)
	e.parsed.Do(func() {
		// A caller that recovers from a panic of the parser must not find empty rules here later.
		e.err = &Error{cherviltide.Fault{Op: "cacher.Parse", Kind: cherviltide.KindInternal, Err: errPanicked}}
		e.rules, e.err = c.parser(text)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	e.done = true
	return e.rules, e.err
}

// Cached returns the rules of a text that was parsed without an error, and false if it was not or is no longer kept.
func (c *Cacher) Cached(text string) (cherviltide.Rules, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		if e.done && e.err == nil && e.text == text {
			return e.rules, true
		}
	}
	return cherviltide.Rules{}, false
}

// Add keeps rules that the caller has parsed from a text.
func (c *Cacher) Add(text string, rules cherviltide.Rules) {
	e := c.entry(text)
	e.parsed.Do(func() { e.rules = rules })
	c.mu.Lock()
	defer c.mu.Unlock()
	e.done = true
}

// entry returns the entry of a text and makes it the newest one.
func (c *Cacher) entry(text string) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := &entry{text: text}
	kept := []*entry{nil}
	for _, e := range c.entries {
		if e.text == text {
			found = e
		} else if len(kept) < maxTexts {
			kept = append(kept, e)
		}
	}
	kept[0] = found
	c.entries = kept
	return found
}
