package egress

// Sender chooses nodes and sends requests through them.
type Sender struct {
	*Client
	*Chooser
}

// NewSender returns a sender to the nodes that a finder finds.
func NewSender(c *Client, f Finder) *Sender { return &Sender{Client: c, Chooser: NewChooser(f)} }
