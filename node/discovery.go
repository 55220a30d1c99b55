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
	n.instances = discovery.NewWatch(client, n.cfg.Platform, n.members, n.router)
	n.instances.Start()
}

func (n *Node) closeDiscovery() {
	if n.instances != nil {
		n.instances.Close()
	}
}
