package measurer

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/google/uuid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/claimer"
)

// Sizes of the at-most-once case.
const (
	claimRequests = 50_000
	claimAgents   = 7
	claimLease    = cherviltide.Millis(5_000)
	// homeChangeInterval is the time between two restarts of agents, in milliseconds of virtual time.
	homeChangeInterval = cherviltide.Millis(20_000)
)

// claimWorld runs at-most-once requests at agents whose views of the membership lag.
type claimWorld struct {
	random *rand.Rand
	now    cherviltide.Millis
	agents []*claimAgent
	// claims is false for the baseline, in which each resend runs.
	claims bool
	next   int

	doubled, refused, refusedRan, keyRefusedRan, unknown, complete, wrong int
}

type claimAgent struct {
	self   cherviltide.Member
	homes  *claimer.HomeHistory
	ledger *claimer.Store
	synced cherviltide.Millis
}

func newClaimWorld(seed uint64, claims bool) *claimWorld {
	w := &claimWorld{random: rand.New(rand.NewPCG(seed, 1)), now: 1_000_000, claims: claims, agents: make([]*claimAgent, claimAgents)}
	for i := range w.agents {
		w.restart(i)
	}
	for _, a := range w.agents {
		w.sync(a)
	}
	w.now += claimLease + claimer.MaxClockSkew
	return w
}

// restart replaces an agent, which loses its claims.
func (w *claimWorld) restart(i int) {
	w.next++
	w.agents[i] = &claimAgent{
		self:   cherviltide.Member{Name: fmt.Sprintf("agent-%d", i+1), Incarnation: uint64(w.next)},
		homes:  claimer.NewHomeHistory(claimLease),
		ledger: claimer.NewStore(),
	}
	if w.agents[claimAgents-1] != nil {
		w.sync(w.agents[i])
	}
}

// sync brings an agent's view of the membership up to date.
func (w *claimWorld) sync(a *claimAgent) {
	var members []cherviltide.Member
	for _, x := range w.agents {
		members = append(members, x.self)
	}
	a.synced = w.now
	a.homes.Update(w.now, members)
}

// execution is one sending of a request.
type execution struct {
	verdict claimer.Verdict
	ran     bool
}

// send lets an agent execute a request. It runs unless the claim is not granted or the target sheds it.
func (w *claimWorld) send(key claimer.Key, customer string) execution {
	w.next++
	claim := claimer.Claim{Key: key, Digest: claimer.Digest{1}, Run: fmt.Sprint(w.next), Until: 5_000}
	shed, dies := w.random.Float64() < 0.05, w.random.Float64() < 0.02
	if !w.claims {
		return execution{verdict: claimer.Verdict{State: claimer.StateGranted}, ran: !shed}
	}
	executor := w.agents[w.random.IntN(claimAgents)]
	home, ok := executor.homes.Home(key)
	if !ok {
		return execution{verdict: claimer.Verdict{State: claimer.StateRefused, Reason: claimer.ReasonNotHome}}
	}
	at := w.find(home)
	if at == nil {
		return execution{verdict: claimer.Verdict{State: claimer.StateRefused, Reason: claimer.ReasonHomeSilent}}
	}
	since, is := at.homes.SoleHomeSince(key, at.self)
	if !is {
		return execution{verdict: claimer.Verdict{State: claimer.StateRefused, Reason: claimer.ReasonNotHome}}
	}
	v := at.ledger.Claim(w.now, claimer.HomeAuthority{Since: since, LeaseLeft: at.synced + claimLease - w.now}, claim)
	if v.State != claimer.StateGranted {
		return execution{verdict: v}
	}
	s := claimer.Settlement{Key: key, Run: claim.Run, Attempt: v.Attempt, Ending: claimer.EndingStored}
	s.Answer = &claimer.Answer{Status: 200, Body: []byte(customer)}
	if shed {
		s.Ending = claimer.EndingNotRun
	}
	if !dies {
		at.ledger.Settle(s)
	}
	return execution{verdict: v, ran: !shed}
}

func (w *claimWorld) find(m cherviltide.Member) *claimAgent {
	for _, a := range w.agents {
		if a.self == m {
			return a
		}
	}
	return nil
}

// request sends one request up to three times, as a caller does that lost the answer, and counts how it ended.
func (w *claimWorld) request(key claimer.Key, customer string) {
	runs := 0
	var last execution
	for range 1 + w.random.IntN(3) {
		last = w.send(key, customer)
		if last.ran {
			runs++
		}
		if a := last.verdict.Answer; a != nil && string(a.Body) != customer {
			w.wrong++
		}
		if last.verdict.State == claimer.StateRefused && last.ran {
			w.refusedRan++
		}
		w.pass(cherviltide.Millis(w.random.IntN(400)))
	}
	if runs > 1 {
		w.doubled++
	}
	w.count(last, runs)
}

func (w *claimWorld) count(last execution, runs int) {
	switch last.verdict.State {
	case claimer.StateRefused:
		w.refused++
		if runs > 0 {
			w.keyRefusedRan++
		}
	case claimer.StateUnknown, claimer.StateInProgress:
		w.unknown++
	default:
		if last.ran || last.verdict.State == claimer.StateStored {
			w.complete++
		} else {
			w.refused++
		}
	}
}

// pass lets time go by, in which agents restart and learn of each other unevenly.
func (w *claimWorld) pass(span cherviltide.Millis) {
	before := w.now / homeChangeInterval
	w.now += span
	if w.now/homeChangeInterval != before {
		w.restart(w.random.IntN(claimAgents))
	}
	w.sync(w.agents[w.random.IntN(claimAgents)])
}

// runClaims measures at-most-once requests with claims and without.
func runClaims(ctx context.Context, seed uint64, emit func(Line)) error {
	for _, variant := range []string{"Default", "NoClaim"} {
		w := newClaimWorld(seed, variant == "Default")
		for i := range claimRequests {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			// Two customers use the same key in turn.
			id := keyID(w.now+cherviltide.Millis(w.random.IntN(1_000)), uint32(i))
			for _, customer := range []string{"north", "south"} {
				w.request(claimer.Key{Customer: customer, Service: "s", ID: id}, customer)
			}
		}
		emit(Line{
			Variant: variant, Timely: Of(w.complete), Refused: Of(w.refused), Unknown: Of(w.unknown),
			Doubled: Of(w.doubled), NotRunButRan: Of(w.refusedRan), WrongCustomer: Of(w.wrong),
			Note: fmt.Sprintf("%d requests in %d s of virtual time, each sent one to three times, 2%% of executions not settled, "+
				"5%% shed, one of %d agents restarted every %d s; %d keys whose last sending was refused had run before",
				2*claimRequests, (w.now-1_000_000)/1_000, claimAgents, homeChangeInterval/1_000, w.keyRefusedRan),
		})
	}
	return nil
}

// keyID returns a UUID of version 7 with the given time.
func keyID(issued cherviltide.Millis, number uint32) uuid.UUID {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(issued))
	id := uuid.UUID{6: 0x70, 8: 0x80}
	copy(id[:6], b[2:])
	binary.BigEndian.PutUint32(id[12:], number)
	return id
}
