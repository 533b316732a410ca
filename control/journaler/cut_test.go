package journaler

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"comfreyplank.org/core/replicator"
)

// cutsAfterFailure is how many of the last operations are cut in a history in which one has failed.
const cutsAfterFailure = 12

// ledger holds what a replica may have told others: its stored state, and the write that is under way, if any.
type ledger struct {
	id     replicator.ID
	stored []replicator.Stored
	// underWay is the log that is being written, or -1, and next are the states that the write may leave besides
	// the one before it.
	underWay int
	next     []replicator.Stored
}

// check returns an error if a restarted replica lacks something that it may have told others.
func (l ledger) check(r replica) error {
	if l.id == "" {
		return nil // it had not started yet
	}
	if r.id != l.id {
		return errors.New("the replica has lost its identity")
	}
	for i, stored := range r.stored {
		allowed := []replicator.Stored{l.stored[i]}
		if i == l.underWay {
			allowed = append(allowed, l.next...)
		}
		if !slices.ContainsFunc(allowed, func(s replicator.Stored) bool { return sameStored(s, stored) }) {
			return errors.Errorf("log %s: stored %v, want one of %v", replicatedLogs[i], stored, allowed)
		}
	}
	return nil
}

func sameStored(a, b replicator.Stored) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return cmp.Equal(a, b)
}

// plan is a write to one log: the action, and the states that it may leave if it is cut, the last one if it isn't.
type plan struct {
	output replicator.Output
	own    bool
	next   []replicator.Stored
}

// drawPlan returns a random write that a replica with this state may do.
func drawPlan(t *rapid.T, s replicator.Stored) plan {
	last := s.Snapshot.Index + uint64(len(s.Entries))
	switch rapid.SampledFrom([]string{"append", "append", "replace", "vote", "own snapshot", "leader's snapshot"}).Draw(t, "write") {
	case "append":
		return planAppend(t, s, last)
	case "replace":
		return planAppend(t, s, rapid.Uint64Range(s.Snapshot.Index, last).Draw(t, "kept"))
	case "vote":
		return planVote(t, s)
	case "own snapshot":
		return planOwnSnapshot(t, s)
	}
	return planLeadersSnapshot(t, s, last)
}

func planAppend(t *rapid.T, s replicator.Stored, after uint64) plan {
	next := s
	next.State.Term++
	added := entries(after+1, after+rapid.Uint64Range(1, 4).Draw(t, "entries"), next.State.Term)
	next.Entries = append(slices.Clone(s.Entries[:after-s.Snapshot.Index]), added...)
	state := next.State
	return plan{output: replicator.Output{State: &state, Entries: added}, next: []replicator.Stored{next}}
}

func planVote(t *rapid.T, s replicator.Stored) plan {
	next := s
	next.State = replicator.HardState{Term: s.State.Term + 1, Vote: replicator.ID(rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "vote"))}
	state := next.State
	return plan{output: replicator.Output{State: &state}, next: []replicator.Stored{next}}
}

func planOwnSnapshot(t *rapid.T, s replicator.Stored) plan {
	if len(s.Entries) == 0 {
		return planVote(t, s)
	}
	i := rapid.IntRange(0, len(s.Entries)-1).Draw(t, "last entry of the snapshot")
	next := s
	next.Snapshot = snapshotAt(s.Entries[i].Index, s.Entries[i].Term)
	next.Entries = s.Entries[i+1:]
	return plan{own: true, output: replicator.Output{Snapshot: &next.Snapshot, Entries: next.Entries}, next: []replicator.Stored{next}}
}

// planLeadersSnapshot replaces the log. If it is cut, the new snapshot may stand beside the state and the entries of
// before, as far as these follow it.
func planLeadersSnapshot(t *rapid.T, s replicator.Stored, last uint64) plan {
	next := replicator.Stored{State: replicator.HardState{Term: s.State.Term + 1}}
	next.Snapshot = snapshotAt(last+rapid.Uint64Range(1, 5).Draw(t, "ahead"), next.State.Term)
	between := replicator.Stored{State: s.State, Snapshot: next.Snapshot}
	state := next.State
	return plan{output: replicator.Output{State: &state, Snapshot: &next.Snapshot}, next: []replicator.Stored{between, next}}
}

func snapshotAt(index, term uint64) replicator.Snapshot {
	return replicator.Snapshot{
		Index: index, Term: term, Data: fmt.Appendf(nil, "state at %d", index),
		Members: replicator.Membership{{ID: "a", Name: "a", Voter: true}},
	}
}

func (p plan) write(j *Journal) error {
	if p.own {
		return j.StoreSnapshot(*p.output.Snapshot, p.output.Entries)
	}
	return j.Persist(p.output)
}

// keepSome keeps about a third of the changes, loses a third, and tears the rest.
func keepSome(random *rand.Rand) keep {
	parts := []int{0, 0, 0, 20, 50, 90, 100, 100, 100}
	return func(string) int { return parts[random.IntN(len(parts))] }
}

// history plays random writes of a replica, and keeps its disk as it is at each operation with what the replica may
// have told others by then.
type history struct {
	disk   *crashDisk
	ledger ledger
	cuts   []cut
}

// cut is a disk as it was before an operation.
type cut struct {
	operation string
	disk      *crashDisk
	ledger    ledger
}

func newHistory() *history {
	h := &history{disk: newCrashDisk(), ledger: ledger{underWay: -1}}
	h.disk.before = h.keepCut
	return h
}

func (h *history) keepCut(operation string) {
	l := h.ledger
	l.stored = slices.Clone(l.stored)
	h.cuts = append(h.cuts, cut{operation: operation, disk: h.disk.clone(), ledger: l})
}

// play starts the replica and lets it write. An operation that fails is tried again, as the driver does, and a sync
// that fails ends the replica.
func (h *history) play(t *rapid.T, writes int) {
	r, err := start(h.disk)
	if errors.Is(err, errInjected) {
		return
	}
	fatal(t, err)
	h.ledger.id, h.ledger.stored = r.id, r.stored
	for range writes {
		i := rapid.IntRange(0, len(r.journals)-1).Draw(t, "log")
		p := drawPlan(t, h.ledger.stored[i])
		h.ledger.underWay, h.ledger.next = i, p.next
		err := p.write(r.journals[i])
		if err != nil && !errors.Is(err, ErrSync) {
			err = p.write(r.journals[i])
		}
		if errors.Is(err, ErrSync) {
			break
		}
		fatal(t, err)
		h.ledger.stored[i] = p.next[len(p.next)-1]
		h.ledger.underWay, h.ledger.next = -1, nil
	}
	h.keepCut("none")
}

func fatal(t *rapid.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// recoverFrom starts a replica on a disk that was cut, and cuts it again at each operation of the start. What the
// first start found must hold after the second, whatever is cut then.
func (c cut) recoverFrom(t *rapid.T, random *rand.Rand) error {
	second := &history{disk: c.disk, ledger: c.ledger}
	second.disk.before = second.keepCut
	r, err := c.start()
	if err != nil {
		return err
	}
	second.ledger = ledger{id: r.id, stored: r.stored, underWay: -1}
	second.keepCut("none")
	for _, again := range second.cuts {
		outcomes := again.outcomes(random)
		o := outcomes[random.IntN(len(outcomes))]
		if _, err := (cut{disk: o.disk, ledger: again.ledger}).start(); err != nil {
			return errors.WithMessagef(err, "cut again before %q of the start, %s", again.operation, o.name)
		}
	}
	return errors.WithMessage(goOn(t, second.disk, r), "after the start")
}

// start starts a replica on the disk, and checks that it holds what it may have told others.
func (c cut) start() (replica, error) {
	r, err := start(c.disk)
	if err != nil {
		return r, err
	}
	return r, c.ledger.check(r)
}

// outcome is a disk as a cut has left it.
type outcome struct {
	name string
	disk *crashDisk
}

func (c cut) outcomes(random *rand.Rand) []outcome {
	return []outcome{
		{"the process was killed", c.disk.clone()},
		{"power was lost, and all that was not synced", c.disk.losePower(keepNothing)},
		{"power was lost, and some of what was not synced", c.disk.losePower(keepSome(random))},
	}
}

// goOn lets a replica write after a recovery and start again.
func goOn(t *rapid.T, disk *crashDisk, r replica) error {
	disk.before = func(string) {}
	for i, journal := range r.journals {
		for range 2 {
			p := drawPlan(t, r.stored[i])
			if err := p.write(journal); err != nil {
				return err
			}
			r.stored[i] = p.next[len(p.next)-1]
		}
	}
	_, err := cut{disk: disk.losePower(keepNothing), ledger: ledger{id: r.id, stored: r.stored, underWay: -1}}.start()
	return err
}

// recoverAll recovers from the last cuts of the history, each by the end of the process and by a loss of power.
func (h *history) recoverAll(t *rapid.T, last int) {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed of the cuts"), 0))
	for _, c := range h.cuts[max(0, len(h.cuts)-last):] {
		for _, o := range c.outcomes(random) {
			if err := (cut{disk: o.disk, ledger: c.ledger}).recoverFrom(t, random); err != nil {
				t.Fatalf("cut before %q, %s: %v", c.operation, o.name, err)
			}
		}
	}
}

// discardLogs drops the log lines of the many starts.
func discardLogs(t *testing.T) {
	former := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Cleanup(func() { slog.SetDefault(former) })
}

// TestRandomCutsLoseNothing guards against a disk that no start accepts, and against one that has lost what the
// replica told others. It cuts random histories at every operation of the disk, and their recovery once more.
func TestRandomCutsLoseNothing(t *testing.T) {
	discardLogs(t)
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		h.play(t, rapid.IntRange(1, 4).Draw(t, "writes"))
		h.recoverAll(t, len(h.cuts))
	})
}

// TestRandomFailuresLoseNothing guards against the same after one operation of the disk has failed.
func TestRandomFailuresLoseNothing(t *testing.T) {
	discardLogs(t)
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		h.disk.failing = rapid.IntRange(1, 60).Draw(t, "failing operation")
		h.play(t, rapid.IntRange(2, 5).Draw(t, "writes"))
		h.recoverAll(t, cutsAfterFailure)
	})
}
