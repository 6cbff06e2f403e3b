package forwarder

import (
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/ipv4"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// payloadSize is the size of a full QUIC datagram, in bytes.
const payloadSize = 1200

func BenchmarkDecide(b *testing.B) {
	view, internal := testView(netip.MustParseAddrPort("127.0.0.1:9")), netip.MustParseAddrPort("127.0.0.1:7")
	key := cherviltide.FlowKey{Caller: caller, Virtual: virtual}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := decideNextHop(view, internal, key, payloadSize); !ok {
			b.Fatal("dropped")
		}
	}
}

// Guards against allocations for each datagram.
func TestDecideDoesNotAllocate(t *testing.T) {
	view, internal := testView(netip.MustParseAddrPort("127.0.0.1:9")), netip.MustParseAddrPort("127.0.0.1:7")
	key := cherviltide.FlowKey{Caller: caller, Virtual: virtual}
	require.Zero(t, testing.AllocsPerRun(100, func() { decideNextHop(view, internal, key, payloadSize) }))
}

// newFiller returns a function that fills the public socket of a fixture with a batch of datagrams.
func newFiller(b *testing.B, x *fixture) func() {
	out, err := newSender(x.caller)
	require.NoError(b, err)
	payload := make([]byte, payloadSize)
	to := netip.AddrPortFrom(virtual.Addr(), localAddress(x.public[0]).Port())
	return func() {
		for range batchSize {
			out.enqueue(payload, to, netip.Addr{})
		}
		require.NoError(b, out.flush())
		require.Equal(b, batchSize, out.sent)
	}
}

// reportRate runs a forwarding function over batches on one core. It reports the rate without the time to fill and
// drain the sockets.
func reportRate(b *testing.B, x *fixture, forward func() int) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	fill, datagrams, took := newFiller(b, x), 0, time.Duration(0)
	drain, err := newReceiver(x.agent, 0, datagramBufferSize)
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		fill()
		start := time.Now()
		n := forward()
		took += time.Since(start)
		datagrams += n
		for got := 0; got < n; {
			m, err := drain.read()
			require.NoError(b, err)
			got += m
		}
	}
	b.ReportMetric(float64(datagrams)/took.Seconds(), "datagrams/s")
	b.ReportMetric(float64(took.Nanoseconds())/float64(datagrams), "ns/datagram")
}

func BenchmarkForwardMmsg(b *testing.B) {
	x := newFixture(b, 0)
	in, err := newReceiver(x.public[0], framer.HeaderSize, datagramBufferSize)
	require.NoError(b, err)
	out, err := newSender(x.internal)
	require.NoError(b, err)
	view := x.view.Load()
	reportRate(b, x, func() int {
		n, _ := in.read()
		x.forward(view, in, out, n, 443)
		return n
	})
}

// BenchmarkForwardIPv4 forwards through golang.org/x/net/ipv4, for comparison with BenchmarkForwardMmsg.
func BenchmarkForwardIPv4(b *testing.B) {
	x := newFixture(b, 0)
	in, out := ipv4.NewPacketConn(x.public[0]), ipv4.NewPacketConn(x.internal)
	read, write := make([]ipv4.Message, batchSize), make([]ipv4.Message, batchSize)
	buffers := make([]byte, batchSize*datagramBufferSize)
	for i := range read {
		read[i] = ipv4.Message{Buffers: [][]byte{buffers[i*datagramBufferSize+framer.HeaderSize : (i+1)*datagramBufferSize]}, OOB: make([]byte, controlSize)}
		write[i].Buffers = [][]byte{nil}
	}
	view := x.view.Load()
	reportRate(b, x, func() int {
		n, _ := in.ReadBatch(read, 0)
		for i, m := range read[:n] {
			destination, _ := destinationAddress(m.OOB[:m.NN], 443)
			from := m.Addr.(*net.UDPAddr).AddrPort()
			to, _, _ := decideNextHop(view, x.config.Internal, cherviltide.FlowKey{Caller: from, Virtual: destination}, m.N)
			datagram := buffers[i*datagramBufferSize : i*datagramBufferSize+framer.HeaderSize+m.N]
			testFramer.Encode(datagram, to.header, m.N)
			write[i].Buffers[0], write[i].Addr = datagram, net.UDPAddrFromAddrPort(to.agent)
		}
		for sent := 0; sent < n; {
			m, err := out.WriteBatch(write[sent:n], 0)
			require.NoError(b, err)
			sent += m
		}
		return n
	})
}
