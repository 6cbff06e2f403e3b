package shaper

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// busyExit returns the exit of a link with as many bytes on it that further packets wait until the time 10.
func busyExit(t *testing.T, config Config) *Exit {
	e := NewExit(config)
	require.True(t, e.Pass(0, int(e.perMilli*15+e.idleCredit)-datagramHeader))
	require.False(t, e.Pass(0, 100))
	return e
}

// outgoing returns a packet of 1,334 bytes with data of a flow's upload.
func outgoing(i int, sequence uint32) Outgoing {
	return Outgoing{Flow: flow(i), Upload: true, Packet: data(sequence, fullPayload), Datagram: make([]byte, 1_334)}
}

func small(i int, flags cherviltide.PacketFlags, length int, upload bool) Outgoing {
	return Outgoing{
		Flow: flow(i), Upload: upload, Packet: cherviltide.Packet{Flags: flags, Length: length, Sequence: 1}, Datagram: make([]byte, 134+length),
	}
}

// flows returns the numbers of the flows in the order in which their packets leave after the link has become idle.
func flows(e *Exit, now cherviltide.Millis) (order []int) {
	for ; e.Bytes() > 0; now++ {
		for p, ok := e.Next(now); ok; p, ok = e.Next(now) {
			order = append(order, int(p.Flow.Caller.Addr().As4()[3]))
		}
	}
	return order
}

// TestExitOrder guards against small packets behind upload data, flows that take the share of others, reordered uploads,
// starved uploads, and dropped opening packets.
func TestExitOrder(t *testing.T) {
	open, ack := cherviltide.PacketOpen, cherviltide.PacketAck
	var urgent []Outgoing
	for i := range uint32(11) {
		urgent = append(urgent, small(9, ack, 1_200, false))
		urgent[i].Packet.Sequence = i
	}
	for name, c := range map[string]struct {
		packets []Outgoing
		want    []int
	}{
		"small exchanges first":    {[]Outgoing{outgoing(1, 1), small(2, open, 0, true), small(1, ack, 0, true), small(3, ack, 900, false)}, []int{2, 1, 3, 1}},
		"equal shares":             {[]Outgoing{outgoing(1, 1), outgoing(1, 1201), outgoing(1, 2401), outgoing(2, 1)}, []int{1, 2, 1, 1}},
		"finish behind its data":   {[]Outgoing{outgoing(1, 1), small(1, cherviltide.PacketFinish|ack, 0, true), small(3, ack, 9, false)}, []int{3, 1, 1}},
		"copy of waiting data":     {[]Outgoing{outgoing(1, 1), outgoing(1, 1), outgoing(1, 1201)}, []int{1, 1}},
		"copies of an opening":     {[]Outgoing{small(1, open, 0, true), small(1, open, 0, true)}, []int{1, 1}},
		"acknowledgements":         {[]Outgoing{small(1, ack, 0, false), small(1, ack, 0, false)}, []int{1, 1}},
		"uploads keep an 8th part": {append(urgent, outgoing(1, 1)), []int{9, 9, 9, 9, 9, 9, 9, 9, 9, 1, 9, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			e := busyExit(t, thinLink)
			for _, p := range c.packets {
				e.Add(0, p)
			}
			_, ok := e.Next(9)
			require.False(t, ok, "the link is busy")
			require.Equal(t, c.want, flows(e, 10))
		})
	}
}

// TestExitBounds guards against a queue without a bound, against opening packets that are dropped because of upload data, and
// against data that is sent although its caller has sent it again.
func TestExitBounds(t *testing.T) {
	e := busyExit(t, thinLink)
	for i := range uint32(1_000) {
		e.Add(0, outgoing(int(i%3), 1+i*fullPayload))
	}
	require.LessOrEqual(t, e.Bytes(), thinRate/5)
	full := e.Dropped(DropFull).Packets
	require.Positive(t, full)
	e.Add(0, small(9, cherviltide.PacketOpen, 0, true))
	require.Equal(t, full+1, e.Dropped(DropFull).Packets)
	p, ok := e.Next(maxPacketAge + 1)
	require.True(t, ok)
	require.Equal(t, flow(9), p.Flow)
	require.Empty(t, flows(e, maxPacketAge+1))
	require.Positive(t, e.Dropped(DropAge).Bytes)
}

// TestExitRate guards against a link that is overrun or left idle, also when the process runs seldom, and against
// packets that wait for an idle link.
func TestExitRate(t *testing.T) {
	for name, interval := range map[string]cherviltide.Millis{"each millisecond": 1, "each 15 ms": 15, "each 80 ms": 80} {
		for shared, config := range map[string]Config{"shared": thinLink, "separate": link(thinRate, DirectionsSeparate)} {
			t.Run(name+", "+shared, func(t *testing.T) {
				e, sent := busyExit(t, config), 0
				for now := cherviltide.Millis(0); now < 4_000; now += interval {
					for i := range 16 + int(interval)/2 {
						e.Add(now, outgoing(i, uint32(now)))
					}
					e.Arrive(now, int(interval)*100-datagramHeader)
					for p, ok := e.Next(now); ok; p, ok = e.Next(now) {
						sent += len(p.Datagram) + datagramHeader
					}
				}
				rate := thinRate
				if config.Directions == DirectionsShared {
					rate -= 100_000
				}
				require.InEpsilon(t, 4*rate, sent, 0.04)
			})
		}
	}
	e := NewExit(thinLink)
	require.Zero(t, testing.AllocsPerRun(10, func() { require.True(t, e.Pass(e.updatedAt+100, 1_334)) }))
	_, waits := e.Wait(2_000)
	require.False(t, waits)
}
