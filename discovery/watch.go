// Package discovery reads the site's lists of instances and targets. Watch reads the
// platform's list of live and leaving instances, which lags, so it only supplements what
// nodes and targets report themselves: unknown addresses, and targets that are leaving.
// Poller reads the site's list of targets.
package discovery

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/member"
	"k8s.io/klog/v2"
)

// State is the platform's state of an instance.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Kind is the kind of an instance.
type Kind string

// The kinds.
const (
	KindNode   Kind = "node"
	KindTarget Kind = "target"
)

// Instance is an entry of the platform's list.
type Instance struct {
	Name     string              `json:"name"`
	Kind     Kind                `json:"kind"`
	DataHall walnutramp.DataHall `json:"data_hall"`
	Address  string              `json:"address"` // numeric IP:port; the peer address of a node
	State    State               `json:"state"`
}

// List is the platform's list of instances.
type List struct {
	Instances []Instance `json:"instances"`
}

// Members receives the nodes listed by the platform.
type Members interface {
	// AddSeeds adds nodes that are not known yet.
	AddSeeds(nodes []member.Node)
}

// Router receives the targets that are leaving according to the platform.
type Router interface {
	// SetLeaving replaces the list of leaving targets.
	SetLeaving(names []walnutramp.TargetName)
}

// maxListBytes bounds the body of the platform's answer, in bytes.
const maxListBytes = 8 << 20

// Config configures a Watch.
type Config struct {
	Interval time.Duration
	Timeout  time.Duration
}

// Option sets a field of Config.
type Option func(*Config)

// WithInterval sets the time between reads.
func WithInterval(d time.Duration) Option { return func(c *Config) { c.Interval = d } }

// Watch periodically reads the platform's list.
type Watch struct {
	cfg     Config
	client  *resty.Client
	members Members
	router  Router
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewWatch returns a watch of the platform at base, a URL, which it sets as the client's
// base URL. Start begins reading.
func NewWatch(client *resty.Client, base string, m Members, r Router, opts ...Option) *Watch {
	cfg := Config{Interval: time.Second, Timeout: 2 * time.Second}
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Watch{cfg: cfg, client: client.SetBaseURL(base).SetResponseBodyLimit(maxListBytes), members: m, router: r, done: make(chan struct{})}
}

// Start begins reading; Close stops it.
func (w *Watch) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
}

// Close stops reading.
func (w *Watch) Close() {
	if w.cancel == nil {
		return
	}
	w.cancel()
	<-w.done
}

func (w *Watch) run(ctx context.Context) {
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		if list, err := w.fetch(ctx); err != nil {
			klog.V(1).InfoS("Failed to read the platform's list of instances", "err", err)
		} else {
			w.apply(list)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (w *Watch) fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Timeout)
	defer cancel()
	var list List
	resp, err := w.client.R().SetContext(ctx).SetResult(&list).Get("/v1/instances")
	if err == nil && resp.IsError() {
		err = errors.Newf("unexpected status %d", resp.StatusCode())
	}
	return list, err
}

func (w *Watch) apply(list List) {
	var nodes []member.Node
	var leaving []walnutramp.TargetName
	for _, i := range list.Instances {
		switch {
		case i.Kind == KindNode && i.State == Live:
			nodes = append(nodes, member.Node{Name: walnutramp.NodeName(i.Name), DataHall: i.DataHall, Address: i.Address})
		case i.Kind == KindTarget && i.State == Leaving:
			leaving = append(leaving, walnutramp.TargetName(i.Name))
		}
	}
	w.members.AddSeeds(nodes)
	w.router.SetLeaving(leaving)
}
