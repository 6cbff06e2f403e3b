package relayer

import (
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// events are the names of the log lines about decisions; other decisions are counted only.
var events = map[Reason]string{
	ReasonOpened: "FlowOpened", ReasonOffered: "FlowOffered", ReasonDeclined: "FlowDeclined", ReasonUnavailable: "FlowRefused",
	ReasonNotOwner: "PacketPassed", ReasonProbed: "PacketPassed", ReasonNotHeld: "PacketPassed", ReasonStage: "PacketPassed",
	ReasonUnsure: "TargetAsked", ReasonNoHolder: "PacketDropped", ReasonNoRoute: "PacketDropped",
	ReasonOldRules: "PacketDropped", ReasonForged: "PacketDropped", ReasonGone: "PacketDropped", ReasonHops: "PacketDropped",
}

// log writes a line about a decision that is not the ordinary way of a packet.
func (r *Relayer) log(x Context, step Step, header framer.Header, p cherviltide.Packet) {
	event, ok := events[step.Reason]
	if !ok {
		return
	}
	line := r.config.Log.Check(zap.InfoLevel, event)
	if line == nil {
		return
	}
	fields := []zap.Field{
		zap.String("Flow", header.Flow.ID()), zap.Stringer("Caller", header.Flow.Caller), zap.Stringer("Virtual", header.Flow.Virtual),
		zap.Uint32("Sequence", p.Sequence), zap.Uint32("Copy", p.Copy), zap.Bool("Opens", p.OpensFlow()),
		zap.Stringer("Reason", step.Reason), zap.Uint64("Revision", x.Revision), zap.Uint64("SenderRevision", header.Revision),
		zap.Uint64("Generation", x.Table.Generation()), zap.Uint64("SenderGeneration", header.Generation),
		zap.Uint8("Hops", header.Hops), zap.Int("Active", step.Active), zap.Int("Slots", step.Slots),
	}
	if step.To.IsValid() {
		fields = append(fields, zap.Stringer("To", step.To))
	}
	line.Write(fields...)
}
