package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/bundle"
	"github.com/walnutramp/walnutramp/caller"
	"github.com/walnutramp/walnutramp/internal/site"
	"github.com/walnutramp/walnutramp/load"
	"github.com/walnutramp/walnutramp/node"
)

const (
	bookingSeeds    = 60
	bookingKeys     = 8
	bookingAttempts = 6
	bookingEvents   = 12
)

// booking records the results of all requests with one idempotency key.
type booking struct {
	key      string
	answered []bool // for each request, in order
	runs     int    // as counted by the service
}

// TestBookingsRunAtMostOnce guards against duplicate execution: bookings are
// retried through random nodes while nodes crash, links are cut and responses are
// lost, and the service counts how often each one ran.
func TestBookingsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(bookingSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for _, b := range runBookings(t, seed) {
					require.Empty(t, b.violation(), "seed %d", seed)
				}
			})
		})
	}
}

// TestBookingScheduleDetectsSendBeforeClaim checks that the schedules detect
// duplicate runs if bookings are sent before they are claimed.
func TestBookingScheduleDetectsSendBeforeClaim(t *testing.T) {
	violations := 0
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			brokenRule := node.WithCallerOptions(caller.WithSendBeforeClaim())
			for _, b := range runBookings(t, seed, brokenRule) {
				if b.violation() != "" {
					violations++
				}
			}
		})
	}
	require.NotZero(t, violations)
	t.Logf("%d of %d bookings broke the at-most-once guarantee", violations, 4*bookingKeys)
}

// runBookings runs the schedule of a seed and returns the results of the bookings.
func runBookings(t *testing.T, seed uint64, opts ...node.Option) []booking {
	cfg := site.Default()
	cfg.NodeOpt = opts
	net := site.NewMemory()
	cfg.Network = net
	cfg.Nodes, cfg.Control, cfg.Seed = 5, 3, seed
	s, err := site.Start(cfg)
	require.NoError(t, err)
	require.NoError(t, s.AwaitMembers(t.Context()))
	rt := s.Transport()
	c := &chaos{t: t, rng: rand.New(rand.NewPCG(seed, 13)), site: s, net: net, down: map[int]bool{}}
	addresses := callerAddresses(s)
	client := load.NewClient(rt, addresses)
	results := make([]booking, bookingKeys)
	var wg sync.WaitGroup
	for i := range results {
		rng := rand.New(rand.NewPCG(seed, uint64(100+i)))
		wg.Go(func() { results[i] = book(t.Context(), client, rng, fmt.Sprintf("booking-%d", i)) })
	}
	for range bookingEvents {
		time.Sleep(time.Duration(100+c.rng.IntN(900)) * time.Millisecond)
		c.bookingEvent()
	}
	c.recover()
	wg.Wait()
	runs := s.Services[0].Runs()
	for i := range results {
		results[i].runs = runs[results[i].key]
	}
	rt.CloseIdleConnections()
	s.Close()
	return results
}

// book sends one booking bookingAttempts times, at random with a concurrent
// duplicate through another node.
func book(ctx context.Context, client *load.Client, rng *rand.Rand, key string) booking {
	b := booking{key: key}
	for range bookingAttempts {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		call := load.Call{
			APIKey: site.KeyOf("clerks"), Key: key, Method: http.MethodPost,
			Path: site.ServiceName + "/bookings", Body: key, First: rng.IntN(5),
		}
		if rng.IntN(3) == 0 {
			duplicate := call
			duplicate.First++
			go client.Call(ctx, duplicate)
		}
		_, err := client.Call(ctx, call)
		b.answered = append(b.answered, err == nil)
	}
	time.Sleep(20 * time.Second) // let duplicates finish
	return b
}

func outcomeOf(err error) walnutramp.Outcome {
	var r *load.Refusal
	if err == nil {
		return walnutramp.Ran
	}
	if errors.As(err, &r) {
		return r.Outcome
	}
	return walnutramp.Unknown
}

// violation describes the violated guarantee, or returns "" if there is none.
func (b *booking) violation() string {
	if b.runs > 1 {
		return fmt.Sprintf("%s ran %d times", b.key, b.runs)
	}
	if slices.Contains(b.answered, true) && b.runs != 1 {
		return fmt.Sprintf("%s was answered and ran %d times", b.key, b.runs)
	}
	return ""
}

func (c *chaos) bookingEvent() {
	a, b := c.rng.IntN(5), c.rng.IntN(5)
	nameA, nameB := string(c.site.Nodes[a].Name), string(c.site.Nodes[b].Name)
	switch c.rng.IntN(6) {
	case 0, 1:
		c.toggle(a)
	case 2:
		c.net.Cut(nameA, nameB)
	case 3:
		c.net.Heal(nameA, nameB)
	case 4:
		c.site.Services[0].CutAnswers(1)
	case 5:
		c.net.Reset(nameA)
	}
}

// TestNotRunOutcomeMeansNoRun checks, for each failure that is reported with the
// outcome not-run, that the service did not run the booking.
func TestNotRunOutcomeMeansNoRun(t *testing.T) {
	cases := map[string]func(s *site.Site, net *site.Memory) load.Call{
		"no key": func(*site.Site, *site.Memory) load.Call { return load.Call{Key: ""} },
		"control group without a majority": func(s *site.Site, _ *site.Memory) load.Call {
			s.Nodes[0].Kill()
			s.Nodes[1].Kill()
			return load.Call{Key: "k", First: 4}
		},
		"service unreachable": func(s *site.Site, _ *site.Memory) load.Call {
			s.Services[0].Close()
			return load.Call{Key: "k", First: 4}
		},
		"service leaving": func(s *site.Site, _ *site.Memory) load.Call {
			b := *s.Bundle
			b.Version = 2
			b.Leaving = []walnutramp.TargetName{s.Services[0].Target.Name}
			if err := s.Submit(context.Background(), 0, &b); err != nil {
				panic(err)
			}
			time.Sleep(time.Second)
			return load.Call{Key: "k", First: 4}
		},
		"account at its limit": func(s *site.Site, _ *site.Memory) load.Call {
			b := *s.Bundle
			b.Version = 2
			b.Accounts = append([]bundle.Account(nil), b.Accounts...)
			b.Accounts[0].Limits.RequestsPerSecond = 1
			if err := s.Submit(context.Background(), 0, &b); err != nil {
				panic(err)
			}
			time.Sleep(time.Second)
			client := load.NewClient(s.Transport(), []string{s.Nodes[4].Callers})
			client.Call(context.Background(), load.Call{APIKey: site.KeyOf("clerks"), Method: http.MethodGet, Path: site.ServiceName + "/lookup/1"})
			client.HTTP.CloseIdleConnections()
			return load.Call{Key: "k", First: 4}
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cfg := site.Default()
				net := site.NewMemory()
				cfg.Network = net
				cfg.Nodes, cfg.Control = 5, 3
				s, err := site.Start(cfg)
				require.NoError(t, err)
				defer s.Close()
				require.NoError(t, s.AwaitMembers(t.Context()))
				time.Sleep(time.Second)
				call := prepare(s, net)
				call.APIKey, call.Method, call.Path = site.KeyOf("clerks"), http.MethodPost, site.ServiceName+"/bookings"
				addresses := callerAddresses(s)
				client := load.NewClient(s.Transport(), addresses)
				defer client.HTTP.CloseIdleConnections()
				_, err = client.Call(t.Context(), call)
				require.Equal(t, walnutramp.NotRun, outcomeOf(err), "%v", err)
				time.Sleep(10 * time.Second)
				require.Zero(t, s.Services[0].Runs()["k"])
			})
		})
	}
}
