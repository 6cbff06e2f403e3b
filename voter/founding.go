package voter

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// A group is founded once. The founder is the instance with the lowest name of all that it knows, and it founds only when these have
// promised it to, each of them to one founder at a time. A promise is durable: no restart, freeze or late message takes it back. It
// ends when the founder gives up the attempt, as for a founder with a lower name, or when the founder's disk is lost. Instances tell
// each other whom they know, so founders that don't know each other learn of each other from any instance that both have asked. Of
// the seeds that they have in common one must keep its disk.
//
// With dynamic voters an instance that may not found also promises nothing: it may have lost its disk, and with it a promise. Whether it
// may is stored at its first start, since a restart halfway must not end the founding. An instance that is no seed and does not answer
// is left out, but not when a founder has lost its disk: then it may be one of the few that have the founder's log. Since all seeds
// may be instances without a disk, a founder also needs a majority of the known disks; see hasEnoughPromises.

const (
	// foundingDelay is how long a founder waits for further instances, counted from the last one that it has heard of. All instances
	// of a new system start at about the same time.
	foundingDelay cherviltide.Millis = 500
	// fewDisksDelay is how long a founder waits for the disks that the deployment needs, counted from the last instance that it has
	// heard of. It must be shorter than the time within which operators expect an acknowledgement.
	fewDisksDelay cherviltide.Millis = 2_000
	// foundingTermRange is the number of terms from which a founder chooses the first one at random.
	foundingTermRange = 1 << 20
)

// attempt is an attempt to found a group.
type attempt struct {
	// number is 0 if there is no attempt.
	number    uint64
	startedAt cherviltide.Millis
	// instances are the names of the instances that were known when the attempt began.
	instances []string
	// promised are the identities, by instance name, that have promised to this attempt.
	promised map[string]ID
}

// tryFounding continues an attempt to found a group, or starts one. It reports whether it founded the group.
func (v *Voter) tryFounding() bool {
	if !v.mayFound() {
		v.giveUpAttempt()
		return false
	}
	known := v.otherInstances()
	if v.attempt.number == 0 || !slices.Equal(known, v.attempt.instances) {
		// All must learn of a further instance before the group is founded.
		v.hardState.Promise.OwnAttempts++
		v.attempt = attempt{number: v.hardState.Promise.OwnAttempts, startedAt: v.now, instances: known, promised: map[string]ID{}}
		v.promiseTo(v.config.Self, v.attempt.number, known)
	}
	complete := v.disk.completedWrite == v.disk.issuedWrite && !v.disk.needsWrite()
	for _, name := range known {
		id, isEmpty := v.emptyVoters[name]
		if !isEmpty || v.attempt.promised[name] == id {
			continue
		}
		v.sendWhenDurable(Message{Type: MessageFound, To: id, Round: v.attempt.number, Voters: v.knownInstances()})
		// An instance that is no seed may join later.
		complete = complete && !v.isNeeded(name) && v.now-v.attempt.startedAt >= foundingDelay
	}
	if v.config.DynamicVoters && v.now-v.lastNewSeed < foundingDelay {
		return false
	}
	complete = complete && v.hasEnoughPromises()
	if complete || v.config.disabled.foundingPromise {
		v.found()
	}
	return complete
}

// hasEnoughPromises reports whether so many instances with a disk have promised to the attempt that no other founder can have as many, and
// that the group bears the losses of the deployment. The seeds alone may have no disk to keep a promise on. With fewer disks than
// the deployment needs all of them found the group once no further one has appeared for fewDisksDelay.
func (v *Voter) hasEnoughPromises() bool {
	if !v.config.DynamicVoters {
		return true
	}
	promised, disks := 1, 1
	for _, name := range v.attempt.instances {
		if !v.foundsNothing[name] {
			disks++
		}
		if _, ok := v.attempt.promised[name]; ok {
			promised++
		}
	}
	bearsLosses := 2*promised > v.config.MinVoters
	hasFewDisks := promised == disks && v.now-v.lastNewSeed >= fewDisksDelay
	return 2*promised > disks && (bearsLosses || hasFewDisks)
}

// isNeeded reports whether a group is not founded without an answer of this instance.
func (v *Voter) isNeeded(name string) bool {
	return v.founderLost || slices.Contains(v.config.Names, name)
}

// mayFound reports whether this voter should found a group: it is the one with the lowest name of the known instances that may, all
// seeds have reported an empty log to this identity, and it has promised nothing to another founder. Without dynamic voters only the
// first configured instance founds a group.
func (v *Voter) mayFound() bool {
	if !(v.config.Bootstrap || v.hasStoredPart()) || v.groupExists || !v.mayPromise(v.config.Self) {
		return false
	}
	if !v.config.DynamicVoters && v.config.Names[0] != v.config.Self.Name {
		return false
	}
	for _, name := range v.otherInstances() {
		_, isEmpty := v.emptyVoters[name]
		switch {
		case v.foundsNothing[name]:
		case isEmpty && name < v.config.Self.Name && v.config.DynamicVoters:
			return false
		case !isEmpty && (v.isNeeded(name) || v.now-v.lastNewSeed < foundingDelay):
			return false
		}
	}
	return true
}

// found founds the group with the instances that have promised.
func (v *Voter) found() {
	ids := []ID{v.config.Self}
	for name, id := range v.emptyVoters {
		// A promise of an identity whose disk was lost since does not count.
		if v.attempt.promised[name] == id || v.config.disabled.foundingPromise {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	v.attempt = attempt{}
	// A founder that lost its disk and founds again must not use the same term, so that the first entries of the two attempts are
	// never taken for the same entry.
	v.becomeFollower(v.hardState.Term+1+v.random.Uint64N(foundingTermRange), ID{})
	v.appendEntries(Entry{Index: 1, Term: v.hardState.Term, Type: EntryVoters, Data: encodeVoters(ids)})
	v.electionDeadline = v.now
}

// mayPromise reports whether this voter may let an instance found a group. A log shows that there is one, and so does a later term than
// that of the last promise, but not to the founder itself: it begins a term when it founds.
func (v *Voter) mayPromise(founder ID) bool {
	if !v.takesPart() || !v.hasEmptyLog() {
		return false
	}
	promised := v.hardState.Promise.Founder
	if v.lost[promised] || (promised == founder && founder == v.config.Self) {
		return true
	}
	isFree := promised == ID{} || promised == founder || (promised == v.config.Self && founder.Name < v.config.Self.Name)
	return isFree && v.hardState.Term == v.hardState.Promise.Term
}

// takesPart reports whether this voter takes part in a founding. One whose disk shows that it did goes on with it, whatever the
// configuration says at the present start: it has lost no promise.
func (v *Voter) takesPart() bool {
	return v.config.Bootstrap || !v.config.DynamicVoters || v.hasStoredPart()
}

// hasStoredPart reports whether the disk shows that this voter takes part in the founding of a group with dynamic voters.
func (v *Voter) hasStoredPart() bool {
	return v.config.DynamicVoters && len(v.hardState.Promise.Instances) > 0
}

// storePart makes this voter take part in the founding after its next start too. It is stored before the voter answers anybody.
func (v *Voter) storePart() {
	if v.config.DynamicVoters && v.config.Bootstrap && v.hasEmptyLog() && !v.hasStoredPart() {
		v.hardState.Promise.Instances = append(slices.Clone(v.config.Names), v.config.Self.Name)
		v.disk.hardStateDirty = true
	}
}

// promiseTo lets an instance that knows the named ones found a group.
func (v *Voter) promiseTo(founder ID, attempt uint64, instances []string) {
	former := v.hardState.Promise
	if former.Founder == founder && former.Attempt == attempt {
		return
	}
	v.founderLost = v.founderLost || v.lost[former.Founder]
	if len(instances) == 0 {
		instances = former.Instances
	}
	v.hardState.Promise = Promise{Founder: founder, Attempt: attempt, Instances: instances, Term: v.hardState.Term, OwnAttempts: former.OwnAttempts}
	v.disk.hardStateDirty = true
}

// takeBackPromise ends the present promise.
func (v *Voter) takeBackPromise() {
	v.hardState.Promise.Founder = ID{}
	v.disk.hardStateDirty = true
}

// restorePromise continues a promise, or an attempt of this voter itself, that was under way at the last stop.
func (v *Voter) restorePromise() {
	if p := v.hardState.Promise; v.hasEmptyLog() && p.Founder != (ID{}) {
		v.AddSeeds(append(slices.Clone(p.Instances), p.Founder.Name))
	}
}

// giveUpAttempt ends the attempt of this voter and tells all that may have promised to it.
func (v *Voter) giveUpAttempt() {
	if v.attempt.number == 0 {
		return
	}
	for _, name := range v.otherInstances() {
		if id, ok := v.emptyVoters[name]; ok {
			v.send(Message{Type: MessageFoundingEnded, To: id, Round: v.attempt.number})
		}
	}
	v.attempt = attempt{}
	if v.hardState.Promise.Founder == v.config.Self && v.hasEmptyLog() {
		v.takeBackPromise()
	}
}

// handleFound promises to let the sender found a group, or refuses it and names the instances that it knows.
func (v *Voter) handleFound(m Message) {
	v.addSeedIDs(m.Voters)
	if p := v.hardState.Promise; p.Founder == m.From && m.Round < p.Attempt {
		return // Delayed; the founder has ended that attempt.
	}
	if v.mayPromise(m.From) {
		if v.attempt.number != 0 {
			v.giveUpAttempt()
		}
		v.promiseTo(m.From, m.Round, idNames(m.Voters))
		v.sendWhenDurable(Message{Type: MessageFoundReply, To: m.From, Round: m.Round, Voters: v.knownInstances()})
		return
	}
	v.sendWhenDurable(Message{Type: MessageFoundReply, To: m.From, Round: m.Round, Reject: true, Index: v.log.lastIndex(), Voters: v.knownInstances()})
}

// renewPromise tells the founder that this voter has promised to let it found a group. The founder replies if it holds no such
// attempt, and an instance that has lost the founder's disk replies that it did.
func (v *Voter) renewPromise() {
	if p := v.hardState.Promise; v.hasEmptyLog() && p.Founder != (ID{}) && p.Founder != v.config.Self {
		v.sendWhenDurable(Message{Type: MessageFoundReply, To: p.Founder, Round: p.Attempt, Voters: v.knownInstances()})
	}
}

// handleFoundReply counts a promise to the present attempt. A promise to any other attempt has no use and is returned, but not while
// there is an attempt: the next MessageFound renews the promise.
func (v *Voter) handleFoundReply(m Message) {
	v.addSeedIDs(m.Voters)
	switch {
	case m.Reject:
		v.groupExists = v.groupExists || m.Index > 0
	case !v.hasEmptyLog():
	case v.attempt.number == 0:
		v.send(Message{Type: MessageFoundingEnded, To: m.From, Round: m.Round})
	case m.Round == v.attempt.number:
		v.attempt.promised[m.From.Name] = m.From
	}
}

// handleFoundingEnded takes back a promise to an attempt that the sender has given up.
func (v *Voter) handleFoundingEnded(m Message) {
	if p := v.hardState.Promise; v.hasEmptyLog() && p.Founder == m.From && p.Attempt == m.Round {
		v.takeBackPromise()
	}
}

// handleEmptyLog records an instance with an empty log, or one that founds no group because it has no disk, or may have lost it.
func (v *Voter) handleEmptyLog(m Message) {
	v.addSeedIDs(m.Voters)
	switch {
	case m.Reject:
		v.foundsNothing[m.From.Name] = true
		delete(v.emptyVoters, m.From.Name)
	case v.hasEmptyLog() && v.mayJoin(m.From.Name):
		v.emptyVoters[m.From.Name] = m.From
	}
}

// replyEmptyLog tells an instance that the log of this one is empty, and whom it knows.
func (v *Voter) replyEmptyLog(to ID) {
	v.sendWhenDurable(Message{Type: MessageEmptyLog, To: to, Reject: !v.takesPart(), Voters: v.knownInstances()})
}

// knownInstances returns the names of all known instances.
func (v *Voter) knownInstances() []ID {
	if !v.config.DynamicVoters {
		return nil
	}
	var ids []ID
	for _, name := range v.otherInstances() {
		ids = append(ids, ID{Name: name})
	}
	return ids
}

func idNames(ids []ID) []string {
	var names []string
	for _, id := range ids {
		names = append(names, id.Name)
	}
	return names
}
