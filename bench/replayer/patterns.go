package replayer

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// TransferPatterns returns the load patterns of the deployment with the most uploads and the most long flows: requests on long
// flows beside new ones at 47 targets with 2 slots, and uploads or downloads
// beside small requests at 12 of them.
func TransferPatterns() []Pattern {
	small := Kind{Name: "small", Route: cherviltide.Route{Priority: 2, Goal: 300, Deadline: 2_500, AtMostOnce: true, Class: cherviltide.ClassNormal},
		PerSecond: 370, ServiceTime: 33, Packets: 1}
	upload := Kind{Name: "upload", Route: cherviltide.Route{Priority: 2, Goal: 800, Deadline: 6_000, AtMostOnce: true, Class: cherviltide.ClassUpload},
		PerSecond: 100, ServiceTime: 4.2, Packets: 1, Upload: Upload{Packets: 34, Fastest: 100, Slowest: 500}}
	download := Kind{Name: "download", Route: cherviltide.Route{Priority: 3, Goal: 500, Deadline: 5_000, Class: cherviltide.ClassBulky},
		PerSecond: 100, ServiceTime: 10, Packets: 120}
	stalling := upload
	stalling.Upload.StallShare = 0.2
	base := Pattern{Slots: 2, Queue: 8, Speeds: slices.Repeat([]float64{1}, 12), Duration: 12_000}
	named := func(name string, kinds ...Kind) Pattern {
		p := base
		p.Name, p.Kinds = name, kinds
		return p
	}
	long := Kind{Name: "long", Route: cherviltide.Route{Priority: 2, Goal: 300, Deadline: 2_000, Class: cherviltide.ClassNormal},
		PerSecond: 1_155, ServiceTime: 26, Packets: 2, LongFlows: LongFlows{Callers: 700, Requests: 20}}
	opening := small
	opening.PerSecond = 330
	waves := named("long-flows", long, opening)
	waves.Speeds, waves.Wave, waves.Duration = slices.Repeat([]float64{1}, 47), Wave{0.55, 17_000}, 34_000
	held := named("held-downloads", small, download)
	held.HoldSlots = true
	return []Pattern{
		waves,
		named("uploads", small, upload),
		named("stalled-uploads", small, stalling),
		named("downloads", small, download),
		held,
	}
}

// GreyPatterns returns the load patterns of grey targets: requests on long flows and new ones at 20 targets with 2 slots, of
// which a tenth fails without notice, in each mode.
func GreyPatterns() []Pattern {
	long := Kind{Name: "long", Route: cherviltide.Route{Priority: 2, Goal: 300, Deadline: 2_000, Class: cherviltide.ClassNormal},
		PerSecond: 460, ServiceTime: 26, Packets: 2, LongFlows: LongFlows{Callers: 280, Requests: 20}}
	small := Kind{Name: "small", Route: cherviltide.Route{Priority: 2, Goal: 300, Deadline: 2_500, AtMostOnce: true, Class: cherviltide.ClassNormal},
		PerSecond: 130, ServiceTime: 33, Packets: 1}
	base := Pattern{Slots: 2, Queue: 8, Speeds: slices.Repeat([]float64{1}, 20), Kinds: []Kind{long, small}, Duration: 40_000, QuarantineShare: 0.2}
	var patterns []Pattern
	for _, mode := range []GreyMode{GreyReset, GreyHang, GreyMute, GreySlow} {
		p := base
		p.Name, p.Grey = string(mode), Grey{Mode: mode, Count: 2, During: Interval{5_000, 35_000}}
		patterns = append(patterns, p)
	}
	return patterns
}

// Patterns returns the load patterns that the decisions about waiting flows answer.
func Patterns() []Pattern {
	speeds := []float64{0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 1}
	view := Kind{Name: "view", Route: cherviltide.Route{Priority: 3, Goal: 250, Deadline: 2_500, Class: cherviltide.ClassNormal},
		PerSecond: 290, ServiceTime: 55, Packets: 2}
	edit := Kind{Name: "edit", Route: cherviltide.Route{Priority: 2, Goal: 300, Deadline: 3_000, AtMostOnce: true, Class: cherviltide.ClassNormal},
		PerSecond: 83, ServiceTime: 72, Packets: 1}
	sheet := Kind{Name: "sheet", Route: cherviltide.Route{Priority: 3, Goal: 500, Deadline: 5_000, Class: cherviltide.ClassBulky},
		PerSecond: 60, ServiceTime: 40, Packets: 34}
	base := Pattern{Slots: 7, Queue: 28, Speeds: speeds, Kinds: []Kind{view, edit}, Duration: 12_000}
	named := func(name string, change func(*Pattern)) Pattern {
		p := base
		p.Name = name
		p.Kinds = append([]Kind(nil), base.Kinds...)
		change(&p)
		return p
	}
	return []Pattern{
		named("outage", func(p *Pattern) { p.Outage = Interval{4_000, 5_200} }),
		named("burst", func(p *Pattern) { p.Burst, p.BurstFactor = Interval{4_000, 6_000}, 3 }),
		named("targets-lost", func(p *Pattern) { p.Lost, p.LostFrom, p.LostNotice = 2, 4_000, 1_500 }),
		named("slow-target", func(p *Pattern) { p.Slow, p.SlowFactor = Interval{4_000, 8_000}, 6 }),
		named("bulky", func(p *Pattern) { p.Kinds = append(p.Kinds, sheet); p.Burst, p.BurstFactor = Interval{4_000, 5_000}, 2 }),
		named("overload", func(p *Pattern) { p.Burst, p.BurstFactor = Interval{2_000, 12_000}, 2.5 }),
	}
}
