package serve

import (
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/peer"
)

// operatorNodeName is the node name under which operator tools connect.
const operatorNodeName = "operator"

// NewOperatorClient returns a control group client for operator tools, and a
// function that closes it. The client connects to member, a numeric host:port,
// and discovers the other members through it.
func NewOperatorClient(member string) (*control.Client, func()) {
	var traffic peer.Traffic
	peers := peer.NewClient(peer.Identity{Site: siteName, Node: operatorNodeName}, dialer().DialContext, directory{}, &traffic)
	client := control.NewDocumentClient(peers, []walnutramp.NodeName{walnutramp.NodeName(member)}, func(uint64, []byte) error { return nil })
	return client, func() {
		client.Close()
		peers.Close()
	}
}
