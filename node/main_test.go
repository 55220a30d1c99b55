package node_test

import (
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain discards the nodes' log output.
func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
