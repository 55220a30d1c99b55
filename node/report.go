package node

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/slo"
	"k8s.io/klog/v2"
)

// reportInterval is how much of the report a crash may lose.
const reportInterval = 10 * time.Second

// reportKeeper saves the counts against objectives on nodes with a disk.
type reportKeeper struct {
	tracker *slo.Tracker
	store   *slo.Store
	cancel  context.CancelFunc
	done    chan struct{}
}

func (n *Node) wireReport() error {
	if n.cfg.Disk == nil {
		return nil
	}
	store, err := slo.OpenStore(n.cfg.Disk, n.metrics.tracker)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.report = &reportKeeper{tracker: n.metrics.tracker, store: store, cancel: cancel, done: make(chan struct{})}
	go n.report.run(ctx)
	return nil
}

func (k *reportKeeper) run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			k.save()
		case <-ctx.Done():
			return
		}
	}
}

func (k *reportKeeper) save() {
	if err := k.store.Save(k.tracker); err != nil {
		klog.ErrorS(err, "Report not saved")
	}
}

func (n *Node) closeReport() {
	if n.report == nil {
		return
	}
	n.report.cancel()
	<-n.report.done
	n.report.store.Close()
}
