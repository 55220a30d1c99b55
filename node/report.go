package node

import (
	"context"
	"time"

	"github.com/walnutramp/walnutramp/slo"
	"k8s.io/klog/v2"
)

// reportSaveInterval bounds how much of the report a stop or crash can lose.
const reportSaveInterval = 10 * time.Second

// reportSaver periodically saves the service-level counts on nodes with a disk.
type reportSaver struct {
	tracker *slo.Tracker
	store   *slo.Store
	cancel  context.CancelFunc
	done    chan struct{}
}

func (n *Node) setupReport() error {
	if n.cfg.Disk == nil {
		return nil
	}
	store, err := slo.OpenStore(n.cfg.Disk, n.metrics.tracker)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.reportSaver = &reportSaver{tracker: n.metrics.tracker, store: store, cancel: cancel, done: make(chan struct{})}
	go n.reportSaver.run(ctx)
	return nil
}

func (k *reportSaver) run(ctx context.Context) {
	defer close(k.done)
	ticker := time.NewTicker(reportSaveInterval)
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

func (k *reportSaver) save() {
	if err := k.store.Save(k.tracker); err != nil {
		klog.ErrorS(err, "Failed to save service-level counts")
	}
}

func (n *Node) closeReport() {
	if n.reportSaver == nil {
		return
	}
	n.reportSaver.cancel()
	<-n.reportSaver.done
	n.reportSaver.store.Close()
}
