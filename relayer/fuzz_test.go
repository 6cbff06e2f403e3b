package relayer

import (
	"testing"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// FuzzDecider guards against a sequence of packets with any header fields that makes an agent panic or loop.
func FuzzDecider(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	f.Add([]byte{1, 1, 1, 1, 1, 1, 1, 1, 1, 0, 3, 0, 2, 0, 255, 0, 0, 9, 7, 0, 0, 60, 0, 0, 0, 0, 0})
	table := tableOf(3)
	f.Fuzz(func(_ *testing.T, data []byte) {
		d, in := newDecider(), inputAt(10, member(1), table)
		d.limits.OpeningRetransmissions, d.limits.OpeningTimeout = []cherviltide.Millis{200, 600}, 1_400
		for ; len(data) >= 9; data = data[9:] {
			flow := key(2000 + int(data[0]&7))
			route := cherviltide.Route{Goal: 250, Deadline: 2_500}
			switch data[0] & 48 {
			case 32:
				route.Class = cherviltide.ClassUpload
			case 16:
				route.Class = cherviltide.ClassBulky
			}
			in.Rules = rules{accepts: true, revision: 1, route: route}
			p := cherviltide.Packet{
				Flags: cherviltide.PacketFlags(data[1]), Sequence: uint32(data[2]), Acknowledgement: uint32(data[3]) << 20,
				Retransmission: uint32(data[3]) << 24, Length: int(data[4]) * 8, Token: uint32(data[4]),
			}
			in.Now += cherviltide.Millis(data[5])
			if data[0]&128 != 0 {
				d.FromTarget(in, targetPacket(flow, p))
			} else {
				a := arrival(flow, p)
				a.Header.Flags, a.Header.Position, a.Header.Hops = framer.Flags(data[6]), data[7], data[8]
				a.Header.Generation, a.Sender = uint64(data[8]), member(1+int(data[6]&3)).Address
				d.FromPeer(in, a)
			}
			if data[0]&64 != 0 {
				d.Expire(in)
			}
			for range 100 {
				if _, _, ok := d.NextWaiting(in); !ok {
					break
				}
			}
			if d.Waiting() > 8 || d.Active() < 0 {
				panic("the counts of flows are wrong")
			}
			transfers, active, sending, further := 0, 0, 0, 0
			for _, f := range d.flows {
				if f.active {
					active++
				}
				if f.further {
					further++
				}
				if f.sending {
					sending++
				}
				if f.transfer != nil && f.transfer.moving {
					transfers++
				}
			}
			if transfers != d.Transfers() || active != d.Active() || sending != d.load.sending || further != d.load.further {
				panic("the load differs from that of the flows")
			}
		}
	})
}
