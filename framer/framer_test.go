package framer_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

var testHeader = framer.Header{
	Type:       framer.TypeForward,
	Position:   3,
	Hops:       2,
	Flags:      framer.FlagProbe,
	Service:    cherviltide.ServiceIDOf("advisory-desk"),
	Generation: 77,
	Flow: cherviltide.FlowKey{
		Caller:  netip.MustParseAddrPort("10.1.2.3:4567"),
		Virtual: netip.MustParseAddrPort("10.9.9.9:443"),
	},
	Entry:         netip.MustParseAddrPort("10.0.0.1:7000"),
	Revision:      9,
	RouteRevision: 8,
	ServiceIndex:  1,
	ServiceCount:  2,
}

func encoded(f framer.Framer, payload string) []byte {
	b := append(make([]byte, framer.HeaderSize), payload...)
	f.Encode(b, testHeader, len(payload))
	return b
}

// Guards against fields that are lost or swapped between encoding and decoding.
func TestDecodeReturnsWhatWasEncoded(t *testing.T) {
	f := framer.New([16]byte{1, 2, 3})
	h, payload, err := f.Decode(encoded(f, "datagram"))
	require.NoError(t, err)
	require.Equal(t, testHeader, h)
	require.Equal(t, "datagram", string(payload))
}

// Guards against accepting datagrams that are damaged, unauthenticated or of another header version.
func TestDecodeRefusesBadDatagrams(t *testing.T) {
	f := framer.New([16]byte{1, 2, 3})
	cases := map[string]struct {
		change func(b []byte) []byte
		want   error
	}{
		"empty":             {func([]byte) []byte { return nil }, framer.ErrShort},
		"truncated header":  {func(b []byte) []byte { return b[:framer.HeaderSize-1] }, framer.ErrShort},
		"truncated payload": {func(b []byte) []byte { return b[:len(b)-1] }, framer.ErrLength},
		"long payload":      {func(b []byte) []byte { return append(b, 0) }, framer.ErrLength},
		"other version":     {func(b []byte) []byte { b[0] = 0x21; return b }, framer.ErrVersion},
		"other service":     {func(b []byte) []byte { b[7]++; return b }, framer.ErrTag},
		"other tag":         {func(b []byte) []byte { b[framer.HeaderSize-1]++; return b }, framer.ErrTag},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, _, err := f.Decode(c.change(encoded(f, "datagram")))
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against accepting datagrams with a valid tag whose fields no process writes, or that exceed the hop limit.
func TestDecodeRefusesInvalidFields(t *testing.T) {
	f := framer.New([16]byte{1, 2, 3})
	cases := map[string]struct {
		change func(h *framer.Header)
		want   error
	}{
		"type zero":    {func(h *framer.Header) { h.Type = 0 }, framer.ErrType},
		"unknown type": {func(h *framer.Header) { h.Type = framer.TypeReachEcho + 1 }, framer.ErrType},
		"two flags":    {func(h *framer.Header) { h.Flags = framer.FlagProbe | framer.FlagHolderNotice }, framer.ErrFlags},
		"unknown flag": {func(h *framer.Header) { h.Flags = 0x80 }, framer.ErrFlags},
		"hops":         {func(h *framer.Header) { h.Hops = framer.MaxHops + 1 }, framer.ErrHops},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, b := testHeader, make([]byte, framer.HeaderSize)
			c.change(&h)
			f.Encode(b, h, 0)
			_, _, err := f.Decode(b)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against accepting datagrams that were authenticated with another key.
func TestDecodeRefusesOtherKey(t *testing.T) {
	_, _, err := framer.New([16]byte{9}).Decode(encoded(framer.New([16]byte{8}), "datagram"))
	require.ErrorIs(t, err, framer.ErrTag)
}

// Guards against a panic on arbitrary input, and against accepted datagrams that Encode would not write.
func FuzzDecode(f *testing.F) {
	fr := framer.New([16]byte{1})
	f.Add(encoded(fr, "datagram"))
	f.Add([]byte{})
	f.Add(make([]byte, framer.HeaderSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, payload, err := fr.Decode(b)
		if err != nil {
			return
		}
		reencoded := append(make([]byte, framer.HeaderSize), payload...)
		fr.Encode(reencoded, h, len(payload))
		require.Equal(t, b, reencoded)
	})
}

// TestFlowKeys guards against flow keys that change on their way, and against payloads that are no list of them.
func TestFlowKeys(t *testing.T) {
	var keys []cherviltide.FlowKey
	for i := range framer.MaxFlowKeys {
		keys = append(keys, cherviltide.FlowKey{
			Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(1000+i)),
			Virtual: netip.MustParseAddrPort("198.18.0.1:443"),
		})
	}
	b := framer.AppendFlowKeys(nil, keys)
	decoded, err := framer.DecodeFlowKeys(b)
	require.NoError(t, err)
	require.Equal(t, keys, decoded)
	_, err = framer.DecodeFlowKeys(b[1:])
	require.ErrorIs(t, err, framer.ErrFlowKeys)
	_, err = framer.DecodeFlowKeys(framer.AppendFlowKeys(b, keys[:1]))
	require.ErrorIs(t, err, framer.ErrFlowKeys)
}
