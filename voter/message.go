package voter

// ID identifies a voter with one particular disk. After the loss of its disk, the same instance gets another number.
type ID struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Number is 0 only in the destination of a Join message, which reaches any voter of that name.
	Number uint64
}

// EntryType distinguishes entries for the state machine from configuration changes.
type EntryType uint8

// The types of log entries.
const (
	EntryNormal EntryType = iota // For the state machine; empty at the start of a leader's term.
	EntryVoters                  // Changes the voters as soon as it is in a log, before it is committed.
)

// Entry is one entry of the log.
type Entry struct {
	_ struct{} `cbor:",toarray"`
	// Index starts at 1 and grows by one.
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// HardState is what a voter must keep on disk besides its log, as in Raft.
type HardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	// Vote is the candidate that this voter voted for in Term; it is the zero ID if there is none.
	Vote ID
	// Admitted is true once this identity has been in a committed voter set. An admitted identity that is removed never
	// becomes a voter again.
	Admitted bool
	// Promise has no meaning once the log has entries.
	Promise Promise
}

// Promise lets one instance found the group.
type Promise struct {
	_ struct{} `cbor:",toarray"`
	// Founder is the zero ID if there is no promise, or if it was taken back.
	Founder ID
	// Attempt is the attempt that the promise was given to. The attempts of a founder are numbered from 1 on.
	Attempt uint64
	// Instances are the names of the instances that the founder knew. Any of them may have the log of the group. Before the first
	// promise they are those of the configuration. They are empty only if the voter takes no part in a founding.
	Instances []string
	// Term is the voter's term when it promised. A later one shows that there is a group.
	Term uint64
	// OwnAttempts counts the attempts of this voter to found a group.
	OwnAttempts uint64
}

// Snapshot is the state of the state machine that replaces the log up to Index.
type Snapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Voters []ID
	Data   []byte
}

// StoredState is the state of a voter on its disk.
type StoredState struct {
	Hard     HardState
	Snapshot Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// MessageType is the kind of a message.
type MessageType uint8

// The messages between voters.
const (
	MessagePreVote MessageType = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshotChunk
	MessageSnapshotChunkReply
	MessageJoin     // Asks for admission, or with Reject, contacts an instance without asking for it.
	MessageEmptyLog // Answers Join: the sender's log is empty, or with Reject, the sender has no disk to keep a log.
	MessageVoters   // Answers Join: the sender does not lead and returns the voters that it knows.
	MessageLeave    // Tells the leader that the sender is about to stop for good or for a restart.
	MessageMayStop  // Answers Leave: the sender stays a voter, and the group does not need it to stay.
	MessageGone     // Answers a message to a former identity of the sender: Voters has it, and its disk was emptied.
	// MessageFound asks for the promise to let the sender found a group in the attempt Round. MessageFoundReply gives it, or refuses it
	// with Reject; Index is above 0 if the sender has a log. MessageFoundingEnded ends the attempt.
	MessageFound
	MessageFoundReply
	MessageFoundingEnded
)

// messageNames has the names of the message types, in the order of their values.
var messageNames = [...]string{
	"", "PreVote", "PreVoteReply", "Vote", "VoteReply", "Append", "AppendReply", "SnapshotChunk", "SnapshotChunkReply", "Join", "EmptyLog",
	"Voters", "Leave", "MayStop", "Gone", "Found", "FoundReply", "FoundingEnded",
}

// String returns the name of the type, as it stands in logs.
func (t MessageType) String() string {
	if int(t) < len(messageNames) {
		return messageNames[t]
	}
	return "unknown"
}

// hasTerm reports whether a message of this type belongs to a term of its sender.
func (t MessageType) hasTerm() bool {
	switch t {
	case MessageJoin, MessageEmptyLog, MessageVoters, MessageLeave, MessageMayStop, MessageFound, MessageFoundReply, MessageFoundingEnded, MessageGone:
		return false
	}
	return true
}

// Message is sent from one voter to another. It may be lost, delayed, duplicated or reordered.
type Message struct {
	_        struct{} `cbor:",toarray"`
	Type     MessageType
	From, To ID
	Term     uint64
	// Index and LogTerm are the entry before Entries in MessageAppend, and the candidate's last entry in requests for
	// votes. In MessageAppendReply, Index is the last entry that is acknowledged, or with Reject, the last one that may
	// match. In MessageSnapshotChunkReply, Index is the number of bytes received, and LogTerm the index of the snapshot.
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	// Round is repeated in replies, so the leader knows which of its messages a voter has received.
	Round uint64
	// Reject denies the request; in a Join it means that the sender is or was a voter and does not ask for admission.
	Reject bool
	Chunk  *SnapshotChunk
	// Voters is set in MessageVoters and MessageGone. In MessageEmptyLog, MessageFound and MessageFoundReply it has the names of the
	// instances that the sender knows.
	Voters []ID
}

// Size returns the size in bytes of the data that the message carries.
func (m Message) Size() int {
	n := entriesSize(m.Entries)
	if m.Chunk != nil {
		n += len(m.Chunk.Data)
	}
	return n
}

// SnapshotChunk is a part of a snapshot.
type SnapshotChunk struct {
	_           struct{} `cbor:",toarray"`
	Index, Term uint64
	Voters      []ID
	// Offset is the position of Data in the snapshot's data, and Size the length of all of it, in bytes.
	Offset, Size int
	Data         []byte
}

// Write is a write to the disk. All of it must be durable before it is reported to WriteCompleted.
type Write struct {
	// Sequence grows by one with each write.
	Sequence uint64
	Hard     HardState
	// Snapshot is nil, or replaces everything on the disk; Entries then are all entries after it.
	Snapshot *Snapshot
	// Entries replace the entries on the disk from the index of the first of them on.
	Entries []Entry
	// IsCompaction is true when Snapshot replaces only what this voter's disk has already. Without it the disk needs just
	// the entries of NewEntries.
	IsCompaction bool
	// NewFrom is the index of the first of Entries that is not on the disk, or 0 if all of them are.
	NewFrom uint64
}

// NewEntries returns the entries that are not on the disk.
func (w Write) NewEntries() []Entry {
	switch {
	case w.Snapshot == nil:
		return w.Entries
	case w.NewFrom == 0:
		return nil
	}
	return w.Entries[w.NewFrom-w.Snapshot.Index-1:]
}

// ReadResult is the result of ConfirmLeadership.
type ReadResult struct {
	Token uint64
	// Confirmed is false if the voter is not the leader or lost the leadership meanwhile.
	Confirmed bool
}

// Output is the work for the voter's owner, who applies Restore, then Committed, and then answers Reads.
type Output struct {
	Write     *Write
	Messages  []Message
	Restore   *Snapshot
	Committed []Entry
	Reads     []ReadResult
}
