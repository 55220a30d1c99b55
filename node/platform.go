package node

import (
	"net/http"

	"github.com/go-resty/resty/v2"
	"github.com/walnutramp/walnutramp/platform"
)

func (n *Node) startPlatform() {
	if n.cfg.Platform == "" {
		return
	}
	client := resty.New().SetTransport(&http.Transport{DialContext: n.cfg.Dial, DisableKeepAlives: true})
	n.platform = platform.NewWatch(client, n.cfg.Platform, n.members, n.router)
	n.platform.Start()
}

func (n *Node) closePlatform() {
	if n.platform != nil {
		n.platform.Close()
	}
}
