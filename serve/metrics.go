package serve

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/walnutramp/walnutramp/internal/build"
	"github.com/walnutramp/walnutramp/internal/drain"
	"github.com/walnutramp/walnutramp/loadshare"
	"github.com/walnutramp/walnutramp/rollout"
)

// MetricsPath is the HTTP path of a process's metrics.
const MetricsPath = "/metrics"

// serveMetrics serves the process's metrics in the Prometheus text format.
func (p *Process) serveMetrics() error {
	if p.settings.MetricsAddr == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+MetricsPath, func(w http.ResponseWriter, _ *http.Request) { p.writeMetrics(w) })
	server, err := p.listen(p.settings.MetricsAddr, metricsShare, mux)
	p.metrics = server
	return err
}

func (p *Process) writeMetrics(w io.Writer) {
	metrics.WriteProcessMetrics(w)
	fmt.Fprintf(w, "walnutramp_build_info{build=%q} 1\n", build.Name())
	fmt.Fprintf(w, "walnutramp_list_entries_passed_over_total %d\n", p.adapter.SkippedEntries())
	fmt.Fprintf(w, "walnutramp_peer_sent_bytes_total %d\n", p.traffic.Sent.Load())
	fmt.Fprintf(w, "walnutramp_peer_received_bytes_total %d\n", p.traffic.Received.Load())
	fmt.Fprintf(w, "walnutramp_request_heads_held_bytes %d\n", p.heads.Used())
	fmt.Fprintf(w, "walnutramp_request_heads_refused_total{why=\"memory\"} %d\n", p.heads.Refused())
	fmt.Fprintf(w, "walnutramp_request_heads_refused_total{why=\"size\"} %d\n", p.heads.TooLarge())
	fmt.Fprintf(w, "walnutramp_request_bodies_held_bytes %d\n", p.bodies.Used())
	fmt.Fprintf(w, "walnutramp_request_bodies_refused_total %d\n", p.bodies.Refused())
	p.writeConnections(w)
	if p.droppedLogLines != nil {
		fmt.Fprintf(w, "walnutramp_log_lines_dropped_total %d\n", p.droppedLogLines())
	}
	if p.client != nil {
		fmt.Fprintf(w, "walnutramp_configuration_version %d\n", p.client.Version())
		contact := p.client.ContactStats()
		fmt.Fprintf(w, "walnutramp_control_questions_total %d\n", contact.Asked)
		fmt.Fprintf(w, "walnutramp_control_questions_failed_total %d\n", contact.Failed)
	}
	if p.entry != nil {
		p.entry.gateway.WriteMetrics(w)
		fmt.Fprintf(w, "walnutramp_target_connections_opened_total %d\n", p.entry.pool.Dialed())
		writeSharing(w, p.entry.sharer.Stats())
		fmt.Fprintf(w, "walnutramp_repeats_share %g\n", p.entry.retryQuota.Share())
		if p.entry.rolloutAgent != nil {
			writeVersions(w, p.entry.rolloutAgent)
		}
		writeCounter(w, p.entry.requestCounter)
	}
	if p.replica != nil && p.replica.member != nil {
		p.replica.writeMetrics(w)
	}
}

// writeConnections writes the counts of connections at each of the process's addresses.
func (p *Process) writeConnections(w io.Writer) {
	servers := map[string]*drain.Server{"metrics": p.metrics}
	if p.entry != nil {
		servers["clients"], servers["ready"] = p.entry.clientServer, p.entry.readyServer
	}
	if p.replica != nil {
		servers["operators"] = p.replica.operator
	}
	for address, server := range servers {
		if server == nil {
			continue
		}
		counts := server.ConnCounts()
		fmt.Fprintf(w, "walnutramp_connections{address=%q} %d\n", address, counts.Open)
		fmt.Fprintf(w, "walnutramp_connections_turned_away_total{address=%q} %d\n", address, counts.TurnedAway)
		fmt.Fprintf(w, "walnutramp_connections_evicted_total{address=%q} %d\n", address, counts.Evicted)
	}
}

// writeVersions writes the revision of the newest roll-out records that an entry has
// received, and its request counts per version in the active roll-outs.
func writeVersions(w io.Writer, a *rollout.Agent) {
	fmt.Fprintf(w, "walnutramp_versions_revision %d\n", a.Revision())
	byVersion := map[[2]string]rollout.Counts{}
	for _, cell := range a.Counts() {
		key := [2]string{cell.Key.Service, cell.Key.Version}
		sum := byVersion[key]
		sum.Add(cell.Counts)
		byVersion[key] = sum
	}
	for key, sum := range byVersion {
		labels := fmt.Sprintf("service=%q,version=%q", key[0], key[1])
		fmt.Fprintf(w, "walnutramp_rollout_sent{%s} %d\n", labels, sum.Sent)
		fmt.Fprintf(w, "walnutramp_rollout_served{%s} %d\n", labels, sum.Served)
		fmt.Fprintf(w, "walnutramp_rollout_failed{%s} %d\n", labels, sum.Failed)
		fmt.Fprintf(w, "walnutramp_rollout_lost{%s} %d\n", labels, sum.Lost)
	}
}

// writeSharing writes the metrics of an entry's exchange of run state with other
// entries, of what it relays for them, and of the retries that they lend each other.
func writeSharing(w io.Writer, s loadshare.Stats) {
	relayed := 0
	if s.Relayed {
		relayed = 1
	}
	fmt.Fprintf(w, "walnutramp_sharing_nodes %d\n", s.Nodes)
	fmt.Fprintf(w, "walnutramp_sharing_relayed %d\n", relayed)
	fmt.Fprintf(w, "walnutramp_sharing_subscribers %d\n", s.Subscribers)
	fmt.Fprintf(w, "walnutramp_sharing_sent_datagrams_total %d\n", s.Datagrams)
	fmt.Fprintf(w, "walnutramp_sharing_sent_bytes_total %d\n", s.Bytes)
	fmt.Fprintf(w, "walnutramp_sharing_told_whole_total %d\n", s.Snapshots)
	fmt.Fprintf(w, "walnutramp_sharing_relays_left_total %d\n", s.RelayFailovers)
	fmt.Fprintf(w, "walnutramp_repeats_borrowed_total %d\n", s.Borrowed)
	fmt.Fprintf(w, "walnutramp_repeats_lent_total %d\n", s.Lent)
	for region, bytes := range s.RegionBytes {
		fmt.Fprintf(w, "walnutramp_sharing_region_sent_bytes_total{from=%q,to=%q} %d\n", s.Region, region, bytes)
	}
}

func (r *replica) writeMetrics(w io.Writer) {
	s := r.member.Status()
	isLeader := 0
	if r.member.Leads() {
		isLeader = 1
	}
	fmt.Fprintf(w, "walnutramp_control_term %d\n", s.Term)
	fmt.Fprintf(w, "walnutramp_control_leads %d\n", isLeader)
	fmt.Fprintf(w, "walnutramp_control_last_index %d\n", s.Last)
	fmt.Fprintf(w, "walnutramp_control_commit_index %d\n", s.Commit)
	fmt.Fprintf(w, "walnutramp_control_voters %d\n", s.Group.Counted())
	fmt.Fprintf(w, "walnutramp_control_members %d\n", len(s.Group.Voters))
	stats := r.member.Stats()
	fmt.Fprintf(w, "walnutramp_control_elected_total %d\n", stats.Elected)
	fmt.Fprintf(w, "walnutramp_control_deposed_total %d\n", stats.Deposed)
	fmt.Fprintf(w, "walnutramp_control_handed_over_total{why=\"asked\"} %d\n", stats.Transfers)
	fmt.Fprintf(w, "walnutramp_control_handed_over_total{why=\"nearer\"} %d\n", stats.PlacementTransfers)
	fmt.Fprintf(w, "walnutramp_control_hand_overs_failed_total %d\n", stats.FailedTransfers)
	for node, roundTrip := range r.member.RoundTrips() {
		fmt.Fprintf(w, "walnutramp_control_round_trip_seconds{member=%q} %.6f\n", node, roundTrip.Seconds())
	}
	r.usage.writeMetrics(w)
	if r.duties != nil {
		r.duties.WriteMetrics(w)
	}
	if r.fleet != nil {
		r.fleet.WriteMetrics(w)
	}
}
