package serve

import (
	"github.com/walnutramp/walnutramp"
	"github.com/walnutramp/walnutramp/control"
	"github.com/walnutramp/walnutramp/peer"
)

// operatorNode is how an operator's tool names itself to members.
const operatorNode = "operator"

// NewOperatorClient returns a client of a site's control group for an
// operator's tool. It asks any member, by numeric host:port, and finds the
// others through it. Call the function to close it.
func NewOperatorClient(member string) (*control.Client, func()) {
	var traffic peer.Traffic
	peers := peer.NewClient(peer.Identity{Site: siteName, Node: operatorNode}, dialer().DialContext, directory{}, &traffic)
	client := control.NewDocumentClient(peers, []walnutramp.NodeName{walnutramp.NodeName(member)}, func(uint64, []byte) error { return nil })
	return client, func() {
		client.Close()
		peers.Close()
	}
}
