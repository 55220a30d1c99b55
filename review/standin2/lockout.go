//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Keys of the play.
const (
	secondKey  = "anfqasnmgkcuyj8pjbvk" // of the tenant, too
	foreignKey = "zz9foreignforeign99z" // no configuration ever holds it
)

// Times of the play.
const (
	configApply = 2 * time.Second // bound of the site
	settled     = configApply + time.Second
	watched     = 6 * time.Second // for which requests are sent after that
)

// lookup sends one request of a plain service with a key to a daemon; none if the key is
// empty. It returns the status; 0 without an answer.
func (s *site) lookup(n *node, key string) (status int, ran bool) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	name := fmt.Sprintf("lookup with key %q", key)
	s.servers.mu.Lock()
	s.servers.logical[id] = name
	s.servers.mu.Unlock()
	r, err := http.NewRequest(http.MethodPost, "http://"+n.link.address()+"/puxa403/2f", strings.NewReader("boat 7"))
	if err != nil {
		return 0, false
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "1000")
	if key != "" {
		r.Header.Set("X-Api-Key", key)
	}
	client := http.Client{Timeout: 1500 * time.Millisecond}
	answer, err := client.Do(r)
	if err != nil {
		s.record.line("client: %s as %s via %s: %v", name, id, n.name, err)
		return 0, false
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body)
	ran = strings.HasPrefix(string(body), "done ") && answer.Header.Get("Response-Seal") == "seal."+id
	s.record.line("client: %s as %s via %s: status %d, run by a server: %v", name, id, n.name, answer.StatusCode, ran)
	return answer.StatusCode, ran
}

// playLockout: the operator takes the keys of the only tenant away, and with trouble the
// tenant, too. Then requests come with the keys that it had, with one that nobody ever had,
// and with none.
func playLockout(s *site, trouble bool) error {
	if err := s.servers.add("huvo11a", true, 3); err != nil {
		return err
	}
	if err := s.servers.add("wuno96b", false, 3); err != nil {
		return err
	}
	if err := s.addNodes(3, 3); err != nil {
		return err
	}
	first := configuration()
	first["tenants"] = []object{{"name": tenant, "api_keys": []string{apiKey, secondKey}, "priority": 1}}
	if err := s.begin(first); err != nil {
		return err
	}
	for _, n := range s.entries() {
		if status, _ := s.lookup(n, apiKey); status != http.StatusOK {
			return fmt.Errorf("%s answers %d to a valid key", n.name, status)
		}
		for _, key := range []string{foreignKey, ""} {
			if _, ran := s.lookup(n, key); ran {
				s.servers.broken("ROUTE: before the change, a request with the key %q ran", key)
			}
		}
	}
	second := configuration()
	second["version"] = 8
	second["tenants"] = []object{{"name": tenant, "api_keys": []string{}, "priority": 1}}
	if trouble {
		second["tenants"] = []object{}
	}
	if err := s.configure(second, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(settled)
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, n := range s.entries() {
			for _, key := range []string{apiKey, secondKey} {
				if _, ran := s.lookup(n, key); ran {
					s.servers.broken("CONFIG: at %s, a request ran with the key %s, which was taken away", n.name, key)
				}
			}
			if _, ran := s.lookup(n, foreignKey); ran {
				s.servers.broken("ROUTE: at %s, a request ran with the key %s, which no configuration ever held", n.name, foreignKey)
			}
		}
	}
	return nil
}
