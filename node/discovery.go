package node

import (
	"net/http"

	"github.com/go-resty/resty/v2"
	"github.com/walnutramp/walnutramp/discovery"
	"github.com/walnutramp/walnutramp/internal/respcheck"
)

func (n *Node) startDiscovery() {
	if n.cfg.Platform == "" {
		return
	}
	n.instanceWatch = discovery.NewWatch(newPlatformClient(n.cfg.Dial), n.cfg.Platform, n.members, n.router)
	n.instanceWatch.Start()
}

// newPlatformClient returns a client for the platform's list of instances.
func newPlatformClient(dial DialFunc) *resty.Client {
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	return resty.New().SetTransport(respcheck.NewTransport(transport))
}

func (n *Node) closeDiscovery() {
	if n.instanceWatch != nil {
		n.instanceWatch.Close()
	}
}
