package relayer

import (
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// eventNames has the log events of decisions by their reason. Decisions with other reasons are only counted.
var eventNames = map[Reason]string{
	ReasonOpened: "FlowOpened", ReasonOffered: "FlowOffered", ReasonDeclined: "FlowDeclined", ReasonUnavailable: "FlowRefused", ReasonEvacuated: "FlowRefused",
	ReasonNotOwner: "PacketPassed", ReasonProbed: "PacketPassed", ReasonNotHeld: "PacketPassed", ReasonDetour: "PacketPassed", ReasonStage: "PacketPassed",
	ReasonUnsure: "TargetAsked", ReasonNoHolder: "PacketDropped", ReasonNoRoute: "PacketDropped",
	ReasonOldRules: "PacketDropped", ReasonWaiting: "FlowWaits", ReasonOverloaded: "FlowRefused", ReasonForged: "PacketDropped", ReasonGone: "PacketDropped", ReasonHops: "PacketDropped",
	ReasonPaced: "PacketDropped",
}

// log writes a log line about a decision whose reason has an event.
func (r *Relayer) log(in Input, decision Decision, header framer.Header, p cherviltide.Packet) {
	event, ok := eventNames[decision.Reason]
	if !ok {
		return
	}
	line := r.config.Log.Check(zap.InfoLevel, event)
	if line == nil {
		return
	}
	fields := []zap.Field{
		zap.String("Flow", header.Flow.ID()), zap.Stringer("Caller", header.Flow.Caller), zap.Stringer("Virtual", header.Flow.Virtual),
		zap.Uint32("Sequence", p.Sequence), zap.Uint32("Copy", p.Retransmission), zap.Bool("Opens", p.OpensFlow()),
		zap.Stringer("Reason", decision.Reason), zap.Uint64("Revision", in.Revision), zap.Uint64("SenderRevision", header.Revision),
		zap.Uint64("Generation", in.Table.Generation()), zap.Uint64("SenderGeneration", header.Generation),
		zap.Uint8("Hops", header.Hops), zap.Int("Active", decision.Active), zap.Int("Slots", decision.Slots),
		zap.Int("Transfers", decision.Transfers), zap.Int("Waiting", decision.Waiting), zap.Int64("WaitMs", int64(decision.Wait)),
	}
	if decision.To.IsValid() {
		fields = append(fields, zap.Stringer("To", decision.To))
	}
	line.Write(fields...)
}
