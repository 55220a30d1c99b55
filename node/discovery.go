package node

import (
	"net/http"

	"github.com/go-resty/resty/v2"
	"github.com/walnutramp/walnutramp/discovery"
)

func (n *Node) startDiscovery() {
	if n.cfg.Platform == "" {
		return
	}
	client := resty.New().SetTransport(&http.Transport{DialContext: n.cfg.Dial, DisableKeepAlives: true})
	n.instanceWatch = discovery.NewWatch(client, n.cfg.Platform, n.members, n.router)
	n.instanceWatch.Start()
}

func (n *Node) closeDiscovery() {
	if n.instanceWatch != nil {
		n.instanceWatch.Close()
	}
}
