package control_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/rollout"
)

// What these tests order.
const (
	fleetService  = "desk"
	fleetDuration = 12 * time.Second
	answerTime    = 30 * time.Millisecond
)

// controlBytes is what control may cost an entry, in bytes a second.
const controlBytes = 7000

// bytes is what an entry has sent and received.
func (e *fleetEntry) bytes() int64 { return e.traffic.Sent.Load() + e.traffic.Received.Load() }

// versionedList lists targets of versions, four of each.
func versionedList(versions ...string) []discovery.Target {
	var list []discovery.Target
	for _, version := range versions {
		for i := range 4 {
			list = append(list, discovery.Target{
				ID: fmt.Sprintf("%s-%d", version, i), Service: fleetService, Address: fmt.Sprintf("10.1.1.%d:80", i),
				DataHall: hallOf(i), Slots: 6, Version: version,
			})
		}
	}
	return list
}

// requests are what the entries of a fleet have sent, by version.
type requests struct {
	mu     sync.Mutex
	sent   map[string]int
	last   map[string]time.Time
	byHost map[string]time.Time // when each entry last sent to the new version
}

func (r *requests) note(entry, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[version]++
	r.last[version] = time.Now()
	if version == "v2" {
		r.byHost[entry] = time.Now()
	}
}

func (r *requests) of(version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[version]
}

func (r *requests) forget(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[version] = 0
}

func (r *requests) lastOf(entry string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byHost[entry]
}

// load has every entry send requests; newFails is the share that the new
// version fails.
func (fl *fleet) load(every time.Duration, newFails float64) *requests {
	r := &requests{sent: map[string]int{}, last: map[string]time.Time{}, byHost: map[string]time.Time{}}
	for i, e := range fl.entries {
		rng := rand.New(rand.NewPCG(uint64(i), 5))
		fl.tasks.Go(func() {
			for fl.ctx.Err() == nil {
				time.Sleep(time.Duration((0.5 + rng.Float64()) * float64(every)))
				fl.tasks.Go(func() { e.send(fmt.Sprintf("e%d", i+1), r, rng.IntN(4), rng.Float64() < newFails) })
			}
		})
	}
	return r
}

// send sends one request as a gateway does.
func (e *fleetEntry) send(name string, r *requests, target int, newFails bool) {
	version := "v1"
	if e.agent.Draw(fleetService, "look") || e.agent.Versions(fleetService, false).Has("v2") {
		version = "v2"
	}
	r.note(name, version)
	request := e.agent.Begin(rollout.Key{Service: fleetService, Route: "look", Version: version, DataHall: hallOf(target), Target: fmt.Sprint(version, target)})
	time.Sleep(answerTime)
	request.First()
	if version == "v2" && newFails {
		request.Ended(rollout.Failed)
		return
	}
	request.Ended(rollout.Served)
}

// list has every member hold a list, as its poller does.
func (fl *fleet) list(versions ...string) {
	for _, m := range fl.members {
		m.roster.Set(versionedList(versions...))
	}
}

// rollout reads the roll-out at any member that is left.
func (fl *fleet) rollout() rollout.Record {
	reply, err := fl.members[len(fl.members)-1].client.Rollout(fl.ctx, fleetService)
	if err != nil {
		return rollout.Record{}
	}
	return reply.Record
}

func (fl *fleet) startRollout() {
	_, err := fl.members[len(fl.members)-1].client.StartRollout(fl.ctx, fleetService, "v2", fleetDuration)
	require.NoError(fl.t, err)
}

// await waits until the roll-out has a state and stage; it fails the test if
// that takes longer than a time.
func (fl *fleet) await(limit time.Duration, reached func(rollout.Record) bool) rollout.Record {
	began := time.Now()
	for {
		rec := fl.rollout()
		if reached(rec) {
			return rec
		}
		require.Less(fl.t, time.Since(began), limit, "%+v", rec)
		time.Sleep(50 * time.Millisecond)
	}
}

func ended(r rollout.Record) bool {
	return r.State == rollout.Completed || r.State == rollout.RolledBack
}

// withRollout starts a fleet under load whose service has new targets, and
// orders a roll-out.
func withRollout(t *testing.T, newFails float64, f func(*fleet, *requests)) {
	inFleet(t, 5, 12, func(t *testing.T, fl *fleet) {
		fl.list("v1")
		load := fl.load(40*time.Millisecond, newFails)
		time.Sleep(2 * time.Second)
		fl.list("v1", "v2")
		load.forget("v2") // before an entry is told any versions it takes all
		time.Sleep(time.Second)
		require.Zero(t, load.of("v2"), "nobody ordered it")
		fl.startRollout()
		f(fl, load)
	})
}

func TestRolloutOfAGoodVersionCompletesInTime(t *testing.T) {
	withRollout(t, 0, func(fl *fleet, load *requests) {
		began, before := time.Now(), load.of("v1")
		bytes := fl.entries[0].bytes()
		time.Sleep(8 * time.Second)
		perS := (fl.entries[0].bytes() - bytes) / 8
		t.Logf("an entry with 25 requests a second: %d bytes a second of control", perS)
		require.Less(t, perS, int64(controlBytes))
		require.Positive(t, load.of("v2"))
		all := float64(load.of("v1") - before + load.of("v2"))
		require.Less(t, float64(load.of("v2")), fleetBounds.Share*all+fleetBounds.Slack)
		rec := fl.await(fleetDuration, ended)
		require.Equal(t, rollout.Completed, rec.State, rec.Reason)
		require.Less(t, time.Since(began), fleetDuration)
		require.Equal(t, []string{"v2"}, rec.InForce)
		time.Sleep(100 * time.Millisecond)
		old := load.of("v1")
		time.Sleep(2 * time.Second)
		require.Equal(t, old, load.of("v1"), "the old targets are stopped")
	})
}

func TestRolloutOfABadVersionIsTakenBack(t *testing.T) {
	withRollout(t, 0.4, func(fl *fleet, load *requests) {
		rec := fl.await(fleetDuration, ended)
		require.Equal(t, rollout.RolledBack, rec.State)
		require.Contains(t, rec.Reason, "answers failed")
		require.Equal(t, []string{"v1"}, rec.InForce)
		time.Sleep(rollout.PermitLife)
		new := load.of("v2")
		time.Sleep(3 * time.Second)
		require.Equal(t, new, load.of("v2"))
		require.Less(t, new, 120)
	})
}

// A leader that is killed costs a little time, at whatever stage it is; what was
// ordered is not forgotten.
func TestRolloutOutlivesLeadersAtEachStage(t *testing.T) {
	for name, reached := range map[string]func(rollout.Record) bool{
		"ordered": func(rollout.Record) bool { return true },
		"canary":  func(r rollout.Record) bool { return r.Elapsed > 5*time.Second },
		"shift":   func(r rollout.Record) bool { return r.Stage == rollout.StageShift },
	} {
		t.Run(name, func(t *testing.T) {
			withRollout(t, 0, func(fl *fleet, load *requests) {
				began := time.Now()
				fl.await(fleetDuration, reached)
				fl.leave(fl.leader())
				rec := fl.await(fleetDuration+2*time.Second, ended)
				require.Equal(t, rollout.Completed, rec.State, rec.Reason)
				require.Less(t, time.Since(began), fleetDuration+1500*time.Millisecond)
			})
		})
	}
}

// leave stops a member for good.
func (fl *fleet) leave(m *fleetMember) {
	left := make([]*fleetMember, 0, len(fl.members))
	for _, other := range fl.members {
		if other != m {
			left = append(left, other)
		}
	}
	fl.members = left
	m.stop()
}

// An entry that hears nothing more stops sending to the new version by itself
// when its permit ends.
func TestEntryThatIsCutOffStopsTrying(t *testing.T) {
	withRollout(t, 0, func(fl *fleet, load *requests) {
		fl.await(fleetDuration, func(r rollout.Record) bool { return r.Stage == rollout.StageShift })
		time.Sleep(400 * time.Millisecond)
		require.Less(t, time.Since(load.lastOf("e1")), 200*time.Millisecond, "all requests go there now")
		for _, m := range fl.members {
			fl.net.Cut("e1", string(m.name))
		}
		cut := time.Now()
		fl.await(fleetDuration, ended)
		time.Sleep(2 * time.Second)
		require.Less(t, load.lastOf("e1").Sub(cut), rollout.PermitLife)
	})
}

// All members without power at once: the order is there afterwards, and its
// time has gone on.
func TestRolloutOutlivesALossOfPower(t *testing.T) {
	withRollout(t, 0, func(fl *fleet, load *requests) {
		began := time.Now()
		time.Sleep(6 * time.Second)
		members := fl.members
		fl.members = nil
		for _, m := range members {
			m.stop()
			m.disk.Crash(0)
		}
		time.Sleep(time.Second)
		for _, m := range members {
			fl.startMember(m.name, m.disk)
		}
		fl.list("v1", "v2")
		rec := fl.await(fleetDuration, ended)
		require.Equal(t, rollout.Completed, rec.State, rec.Reason)
		require.InDelta(t, fleetDuration.Seconds(), time.Since(began).Seconds(), 1.5)
	})
}

// A version of which no target comes is taken back at the deadline: the old
// targets would be stopped with nothing in their place.
func TestRolloutWithoutTargetsIsTakenBack(t *testing.T) {
	for name, listed := range map[string][]discovery.Target{
		"none": versionedList("v1"),
		"few":  append(versionedList("v1"), versionedList("v2")[:1]...),
	} {
		t.Run(name, func(t *testing.T) {
			withRollout(t, 0, func(fl *fleet, load *requests) {
				for _, m := range fl.members {
					m.roster.Set(listed)
				}
				rec := fl.await(fleetDuration, ended)
				require.Equal(t, rollout.RolledBack, rec.State)
				require.Contains(t, rec.Reason, "of the version")
			})
		})
	}
}

func TestOrdersThatMakeNoSense(t *testing.T) {
	inFleet(t, 3, 1, func(t *testing.T, fl *fleet) {
		order := func(service, version string, d time.Duration) walnutramp.Code {
			_, err := fl.members[0].client.StartRollout(fl.ctx, service, version, d)
			if err == nil {
				return walnutramp.CodeOK
			}
			return walnutramp.AsError(err).Code
		}
		require.Equal(t, walnutramp.CodeLedgerAway, order(fleetService, "v2", time.Second), "no list was read yet")
		fl.list("v1")
		time.Sleep(time.Second)
		require.Equal(t, walnutramp.CodeRolloutInvalid, order("", "v2", time.Second))
		require.Equal(t, walnutramp.CodeRolloutInvalid, order(fleetService, "", time.Second))
		require.Equal(t, walnutramp.CodeRolloutInvalid, order(fleetService, "v2", 0))
		require.Equal(t, walnutramp.CodeRolloutUnknown, order("other", "v2", time.Second))
		require.Equal(t, walnutramp.CodeRolloutInForce, order(fleetService, "v1", time.Second))
		require.Equal(t, walnutramp.CodeOK, order(fleetService, "v2", 10*time.Second))
		require.Equal(t, walnutramp.CodeRolloutUnderWay, order(fleetService, "v2", 10*time.Second))
		require.Equal(t, walnutramp.CodeRolloutUnderWay, order(fleetService, "v3", time.Second))
		_, err := fl.members[0].client.Rollout(fl.ctx, "other")
		require.True(t, walnutramp.HasCode(err, walnutramp.CodeRolloutUnknown))
	})
}

// losingFirst loses the answer to the first order that it passes on.
type losingFirst struct {
	control.Peers
	lost bool
}

// Call implements control.Peers.
func (p *losingFirst) Call(ctx context.Context, node walnutramp.NodeName, method string, args, reply any) error {
	err := p.Peers.Call(ctx, node, method, args, reply)
	done, ok := reply.(*control.DoReply)
	if ok && method == control.Service+".Order" && err == nil && done.Code == walnutramp.CodeOK && !p.lost {
		p.lost = true
		return errors.New("the connection broke off")
	}
	return err
}

// A node's own call to the leader broke off after the order was taken, and it asked
// again: the operator was told that another roll-out is under way, and that its own did
// not begin.
func TestOrderThatANodeRepeatsIsNotRefused(t *testing.T) {
	inFleet(t, 3, 1, func(t *testing.T, fl *fleet) {
		fl.list("v1")
		time.Sleep(time.Second)
		_, peers, _ := fl.peersOf("o1")
		defer peers.Close()
		losing := &losingFirst{Peers: peers}
		client := control.NewDocumentClient(losing, fl.seeds, func(uint64, []byte) error { return nil })
		rec, err := client.StartRollout(fl.ctx, fleetService, "v2", 10*time.Second)
		require.NoError(t, err)
		require.True(t, losing.lost)
		require.Equal(t, "v2", rec.Target)
		require.Equal(t, rollout.Running, rec.State)
		losing.lost = false
		_, err = client.StartRollout(fl.ctx, fleetService, "v3", 10*time.Second)
		require.True(t, walnutramp.HasCode(err, walnutramp.CodeRolloutUnderWay), "another's")
	})
}

// An operator whose answer was lost sends its order again: what it began is not
// begun a second time, though it has ended meanwhile.
func TestRepeatedOrderBeginsNothing(t *testing.T) {
	inFleet(t, 3, 1, func(t *testing.T, fl *fleet) {
		fl.list("v1")
		time.Sleep(time.Second)
		first, err := fl.members[0].client.StartRollout(fl.ctx, fleetService, "v2", time.Second)
		require.NoError(t, err)
		require.Equal(t, rollout.RolledBack, fl.await(5*time.Second, ended).State)
		again, err := fl.members[1].client.StartRollout(fl.ctx, fleetService, "v2", time.Second)
		require.NoError(t, err)
		require.Equal(t, first.Number, again.Number)
		require.Equal(t, rollout.RolledBack, again.State)
		time.Sleep(10 * time.Second)
		next, err := fl.members[1].client.StartRollout(fl.ctx, fleetService, "v2", time.Second)
		require.NoError(t, err)
		require.Greater(t, next.Number, first.Number, "a new try, much later")
	})
}
