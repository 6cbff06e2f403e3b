package voter

// ID identifies a voter for one life of its disk. A voter whose disk was lost returns under another number.
type ID struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Number is 0 only in the address of a Join message, which reaches any voter of that name.
	Number uint64
}

// EntryType tells who reads an entry.
type EntryType uint8

// The types of log entries.
const (
	EntryNormal EntryType = iota // For the state machine; empty when a new leader marks the start of its term.
	EntryVoters                  // Changes the voters as soon as it is in a log.
)

// Entry is one entry of the log.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Index is at least 1 and grows by one.
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is what a voter must remember besides its log.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	// Vote is the candidate that got this voter's vote in Term; it is zero when there is none.
	Vote ID
	// Admitted is true once this identity was in committed voters. An admitted identity that was removed never returns.
	Admitted bool
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Voters []ID
	Data   []byte
}

// StoredState is what the disk of a voter holds.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// MessageType tells what a message asks or answers.
type MessageType uint8

// The messages between voters.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageChunk
	MessageChunkReply
	MessageJoin     // A voter without a vote asks every named voter for admission.
	MessageEmptyLog // Answers Join: the sender's log is empty, or with Reject, the sender has no disk for one.
	MessageKnown    // Answers Join: the sender does not lead and knows these voters.
)

// Message travels from one voter to another. It may be lost, delayed, repeated and overtaken.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Type     MessageType
	From, To ID
	Term     uint64
	// Index and LogTerm are the entry before Entries, the candidate's last entry, or the entry that a reply confirms.
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	// Round is repeated in replies; it shows the leader which of its messages a voter has seen.
	Round uint64
	// Reject refuses what was asked; in a Join it tells that the sender was a voter and does not ask for admission.
	Reject bool
	Chunk  *Chunk
	// Voters is set in Known, and in EmptyLog as far as the sender knows others with a disk.
	Voters []ID
}

// Chunk is a part of a snapshot.
type Chunk struct {
	_           struct{} `cbor:",toarray"`
	Index, Term uint64
	Voters      []ID
	// Offset and Size count bytes of the snapshot's data.
	Offset, Size int
	Data         []byte
}

// Write is work for the disk. The whole of it must be durable before it is reported as done.
type Write struct {
	// Sequence grows by one with each write.
	Sequence uint64
	Hard     HardState
	// Snapshot is nil or replaces everything that is on the disk; Entries then are all that follow it.
	Snapshot *Snapshot
	// Entries replace what the disk holds from the index of the first of them.
	Entries []Entry
}

// Read is the end of a ConfirmLeadership.
type Read struct {
	Token uint64
	// Confirmed is false when the voter is not the leader or lost the leadership.
	Confirmed bool
}

// Output is what a voter asks of its owner. The owner applies Restore, then Committed, and then answers Reads.
type Output struct {
	Write     *Write
	Messages  []Message
	Restore   *Snapshot
	Committed []Entry
	Reads     []Read
}
