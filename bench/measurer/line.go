// Package measurer runs the measurement cases and prints one JSON line for each result.
package measurer

import "cherviltide.example/cherviltide/bench/replayer"

// Line is one result. Fields that do not apply to a case are omitted.
type Line struct {
	Case string
	// Variant is Default or the name of a baseline.
	Variant string
	Seed    uint64

	Flows       *int     `json:",omitempty"`
	BrokenFlows *int     `json:",omitempty"`
	Imbalance   *float64 `json:",omitempty"` // Maximum load of a target over the mean load, each relative to its speed.
	ExtraHops   *float64 `json:",omitempty"` // Per datagram.

	TimelyShare *float64 `json:",omitempty"` // Of all requests; with warm-up, of those that arrived while targets were cold.
	FullShareMs *int64   `json:",omitempty"` // From the start of cold targets until they serve 90% of what they served before.

	Kind         string   `json:",omitempty"`
	Load         *float64 `json:",omitempty"` // Offered load relative to capacity.
	Timely       *int     `json:",omitempty"`
	Late         *int     `json:",omitempty"`
	Refused      *int     `json:",omitempty"`
	Unknown      *int     `json:",omitempty"`
	Lost         *int     `json:",omitempty"`
	Doubled      *int     `json:",omitempty"`
	NotRunButRan *int     `json:",omitempty"`
	// WrongCustomer counts responses that were delivered to another customer.
	WrongCustomer *int `json:",omitempty"`

	Subscribers    *int     `json:",omitempty"`
	InForceP99Ms   *float64 `json:",omitempty"`
	InForceMaxMs   *float64 `json:",omitempty"`
	BytesPerSecond *float64 `json:",omitempty"`
	CPUPercent     *float64 `json:"CpuPercent,omitempty"` // Percent of one core.
	MemoryBytes    *uint64  `json:",omitempty"`

	// Note describes the measurement and has further results, with units.
	Note string `json:",omitempty"`

	// pattern and results are those of a plot: the title of the load pattern and the outcomes over time, or nil.
	pattern string
	results replayer.Results
}

// Ptr returns a pointer to a value, for the optional fields of a Line.
func Ptr[T any](value T) *T {
	return &value
}
