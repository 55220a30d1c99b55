package bundle

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"strings"

	"github.com/walnutramp/walnutramp"
	"go.yaml.in/yaml/v3"
)

const keyHashPrefix = "sha256:"

// checker validates what decoding alone cannot detect.
type checker struct {
	bundle *Bundle
	root   *yaml.Node
	errs   ValidationErrors
}

func (c *checker) run() {
	if c.bundle.Version == 0 {
		c.add("must be 1 or more", "give the number after the version in force", "version")
	}
	if c.bundle.Site == "" {
		c.add("is missing", "name the site", "site")
	}
	c.checkModels()
	c.checkTargets()
	c.checkServices()
	c.checkAccounts()
	c.checkLeaving()
	c.checkPolicies()
	c.checkObjectives()
}

func (c *checker) checkModels() {
	seen := map[string]bool{}
	for i, m := range c.bundle.Models {
		c.checkName(string(m.Name), seen, "models", i, "name")
		if m.Canary < 0 || m.Canary > 100 {
			c.add("must lie between 0 and 100", "give a percentage", "models", i, "canary")
		}
		if m.Context <= 0 {
			c.add("must be above 0", "give the model's context in tokens", "models", i, "context")
		}
	}
}

func (c *checker) checkTargets() {
	seen := map[string]bool{}
	for i, t := range c.bundle.Targets {
		c.checkName(string(t.Name), seen, "targets", i, "name")
		if t.DataHall == "" {
			c.add("is missing", "name the data hall the target stands in", "targets", i, "dataHall")
		}
		if t.Kind != KindEngine && t.Kind != KindService {
			c.add(fmt.Sprintf("%q is no kind", t.Kind), "use engine or service", "targets", i, "kind")
		}
		if _, err := netip.ParseAddrPort(t.Address); err != nil {
			c.add(fmt.Sprintf("%q is not a numeric address", t.Address), "write IP:port", "targets", i, "address")
		}
		if t.Slots < 0 {
			c.add("must not be negative", "give how many requests it runs at once", "targets", i, "slots")
		}
		c.checkTargetModels(i, t)
	}
}

func (c *checker) checkTargetModels(i int, t Target) {
	if t.Kind == KindEngine && len(t.Models) == 0 {
		c.add("is empty", "name at least one model", "targets", i, "models")
	}
	for j, name := range t.Models {
		if _, ok := c.bundle.Model(name); !ok {
			c.add(fmt.Sprintf("%q is not under models", name), "add the model or mend the name", "targets", i, "models", j)
		}
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	for i, s := range c.bundle.Services {
		c.checkName(s.Name, seen, "services", i, "name")
		if strings.Contains(s.Name, "/") {
			c.add("must not contain a slash", "use letters, digits and dashes", "services", i, "name")
		}
		for j, name := range s.Targets {
			t, ok := c.bundle.Target(name)
			if !ok || t.Kind != KindService {
				c.add(fmt.Sprintf("%q is no service target", name), "name a target of kind service", "services", i, "targets", j)
			}
		}
		for j, r := range s.Routes {
			if !strings.HasPrefix(r.Path, "/") {
				c.add("must begin with a slash", "write the path below the service", "services", i, "routes", j, "path")
			}
		}
	}
}

func (c *checker) checkAccounts() {
	seen := map[string]bool{}
	owner := map[string]walnutramp.ClientAccount{}
	for i, a := range c.bundle.Accounts {
		c.checkName(string(a.Name), seen, "accounts", i, "name")
		if a.Weight < 1 {
			c.add("must be 1 or more", "give the account's share", "accounts", i, "weight")
		}
		if a.Limits.Concurrent < 0 || a.Limits.RequestsPerSecond < 0 || a.Limits.TokensPerSecond < 0 {
			c.add("must not be negative", "leave a limit out for no bound", "accounts", i, "limits")
		}
		for j, key := range a.Keys {
			if !validKeyHash(key) {
				c.add("is not a hashed key", "store sha256: and the key's SHA-256 in hex", "accounts", i, "keys", j)
			}
			if other, ok := owner[key]; ok {
				c.add(fmt.Sprintf("belongs to account %s too", other), "give each account its own keys", "accounts", i, "keys", j)
			}
			owner[key] = a.Name
		}
	}
}

func validKeyHash(s string) bool {
	digits, ok := strings.CutPrefix(s, keyHashPrefix)
	if !ok || len(digits) != 64 {
		return false
	}
	_, err := hex.DecodeString(digits)
	return err == nil && strings.ToLower(digits) == digits
}

func (c *checker) checkLeaving() {
	for i, name := range c.bundle.Leaving {
		if _, ok := c.bundle.Target(name); !ok {
			c.add(fmt.Sprintf("%q is not under targets", name), "mend the name or drop the entry", "leaving", i)
		}
	}
}

func (c *checker) checkPolicies() {
	g := c.bundle.Guard
	if g.Replicas != 1 && g.Replicas != 3 && g.Replicas != 5 {
		c.add(fmt.Sprintf("%d is no size of replica set", g.Replicas), "use 1 (no guarding), 3 or 5", "guard", "replicas")
	}
	if g.Coalesce < 0 {
		c.add("must not be negative", "give a duration such as 5ms", "guard", "coalesce")
	}
	if c.bundle.Admission.Patience < 0 {
		c.add("must not be negative", "give a duration such as 300ms", "admission", "patience")
	}
	if c.bundle.Placement.Orders && c.bundle.Placement.Loads < 1 {
		c.add("must be 1 or more", "say how many loads the weight store bears at once", "placement", "loads")
	}
	l := c.bundle.Resume.Leaning
	if l != PreferLatency && l != PreferCost {
		c.add(fmt.Sprintf("%q is no leaning", l), "use latency or cost", "resume", "leaning")
	}
}

func (c *checker) checkObjectives() {
	for i, o := range c.bundle.Objectives {
		if o.GoodPercentage <= 0 || o.GoodPercentage >= 100 {
			c.add("must lie between 0 and 100", "say how many in 100 must be good, such as 95", "objectives", i, "goodPercentage")
		}
		if o.FirstToken == 0 && o.BetweenTokens == 0 && o.ResumeGap == 0 {
			c.add("states nothing to hold to", "give firstToken, betweenTokens or resumeGap", "objectives", i)
		}
	}
}

func (c *checker) checkName(name string, seen map[string]bool, path ...any) {
	if name == "" {
		c.add("is missing", "give a name", path...)
		return
	}
	if seen[name] {
		c.add(fmt.Sprintf("%q stands twice", name), "give each its own name", path...)
	}
	seen[name] = true
}

func (c *checker) add(message, hint string, path ...any) {
	c.errs = append(c.errs, ValidationError{
		Line:    lineOf(c.root, path),
		Path:    formatPath(path),
		Message: message,
		Hint:    hint,
	})
}

func formatPath(path []any) string {
	var b strings.Builder
	for _, p := range path {
		if i, ok := p.(int); ok {
			fmt.Fprintf(&b, "[%d]", i)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		fmt.Fprint(&b, p)
	}
	return b.String()
}

// lineOf returns the line of the deepest node on path that exists in the
// document.
func lineOf(n *yaml.Node, path []any) int {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	for _, p := range path {
		next := child(n, p)
		if next == nil {
			break
		}
		n = next
	}
	return n.Line
}

func child(n *yaml.Node, key any) *yaml.Node {
	if i, ok := key.(int); ok {
		if n.Kind == yaml.SequenceNode && i < len(n.Content) {
			return n.Content[i]
		}
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}
