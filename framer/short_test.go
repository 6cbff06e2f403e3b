package framer_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

func shortHeader() framer.Header {
	return framer.Header{
		Type: framer.TypeForward, Service: testHeader.Service, Flow: testHeader.Flow, Entry: testHeader.Entry, ServiceIndex: 1, ServiceCount: 2,
	}
}

func encodedShort(f framer.Framer, payload string) []byte {
	b := append(make([]byte, framer.ShortHeaderSize), payload...)
	f.EncodeShort(b, shortHeader(), len(payload))
	return b
}

// Guards against fields that are lost in the short form, and against a short form that older processes would take for a full
// header.
func TestShortHeader(t *testing.T) {
	f := framer.New([16]byte{1, 2, 3})
	b := encodedShort(f, "datagram")
	payload, ok := framer.ShortPayload(b)
	require.True(t, ok)
	require.Equal(t, "datagram", string(payload))
	h, err := f.DecodeShort(b, testHeader.Flow, testHeader.Entry)
	require.NoError(t, err)
	require.Equal(t, shortHeader(), h)
	_, _, err = f.Decode(append(b, make([]byte, framer.HeaderSize)...))
	require.Error(t, err)
	_, ok = framer.ShortPayload(encoded(f, "datagram"))
	require.False(t, ok)
}

// Guards against short headers that are accepted for another flow, length, service or key.
func TestShortHeaderRefusesBadDatagrams(t *testing.T) {
	f := framer.New([16]byte{1, 2, 3})
	other := testHeader.Flow
	other.Caller = netip.MustParseAddrPort("10.1.2.3:4568")
	for name, c := range map[string]struct {
		datagram []byte
		flow     cherviltide.FlowKey
		want     error
	}{
		"empty":         {nil, testHeader.Flow, framer.ErrNotShort},
		"truncated":     {encodedShort(f, "")[:framer.ShortHeaderSize-1], testHeader.Flow, framer.ErrNotShort},
		"other flow":    {encodedShort(f, "datagram"), other, framer.ErrTag},
		"longer":        {append(encodedShort(f, "datagram"), 0), testHeader.Flow, framer.ErrTag},
		"other key":     {encodedShort(framer.New([16]byte{9}), "datagram"), testHeader.Flow, framer.ErrTag},
		"other service": {func() []byte { b := encodedShort(f, "x"); b[3]++; return b }(), testHeader.Flow, framer.ErrTag},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := f.DecodeShort(c.datagram, c.flow, testHeader.Entry)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against the short form for datagrams that need fields which it lacks.
func TestHasShortForm(t *testing.T) {
	require.True(t, shortHeader().HasShortForm())
	for name, change := range map[string]func(*framer.Header){
		"reply":    func(h *framer.Header) { h.Type = framer.TypeReply },
		"probe":    func(h *framer.Header) { h.Flags = framer.FlagProbe },
		"position": func(h *framer.Header) { h.Position = 1 },
		"hop":      func(h *framer.Header) { h.Hops = 1 },
	} {
		h := shortHeader()
		change(&h)
		require.False(t, h.HasShortForm(), name)
	}
}
