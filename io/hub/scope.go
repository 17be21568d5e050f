package hub

import "azurelane/core/wire"

// scope is the set of entries that a replica schedules for.
//
// The leader schedules for all entries that reach it. Entries of a data centre that is cut off
// do not reach it, and no leader is elected there. A replica that is cut off with these entries
// schedules the upstreams of its own data centre for them, within the shares of the rates that
// the leader reserves for silent entries. This replica only places requests. Like any replica
// without a quorum, it refuses commands that need the log.
//
// Without such a scheduler, each entry would place requests by its own observations alone, which
// has three drawbacks. For the first half second, entries would wait for upstreams on the other
// side. Each entry would hold an account to the share of a single entry, which is less than one
// large request where there are hundreds of entries. Many entries would send requests to the
// same upstream.
type scope int

const (
	scopeNone scope = iota
	scopeDataCentre
	scopeDeployment
)

// wantedScope returns the scope that this replica should schedule for now.
func (h *Hub) wantedScope() scope {
	if h.Replica.Leads() {
		// Until it is established, this replica may lack the newest configuration. An entry that
		// has just started would put an older one in force than the deployment had.
		if h.Replica.Established() {
			return scopeDeployment
		}
		return scopeNone
	}
	if v, _ := h.Replica.Publication(); v > 0 && h.Replica.CutOff() {
		return scopeDataCentre
	}
	return scopeNone
}

// startMessage returns the log message for the start of a scheduler.
func (s scope) startMessage() string {
	if s == scopeDataCentre {
		return "Data centre is cut off; scheduling for its entries."
	}
	return "Leadership gained."
}

// stopMessage returns the log message for the end of a scheduler.
func (s scope) stopMessage() string {
	if s == scopeDataCentre {
		return "Data centre is no longer cut off; scheduling for its entries ends."
	}
	return "Leadership lost."
}

// serves reports whether a scheduler is meant for an entry. A scheduler of one data centre
// serves only entries that reach no replica elsewhere. When only the links between replicas are
// cut, entries that stayed with a former leader would miss configurations accepted since, and
// would serve callers by routes and keys that are no longer in force.
func (h *Hub) serves(s *scheduler, w *wire.Watch) bool {
	return s.scope == scopeDeployment || (w.GetAlone() && w.GetDataCentre() == h.DataCentre)
}

// dataCentre returns the data centre that the scheduler is limited to, which is own, or an empty
// string if it schedules for all.
func (s *scheduler) dataCentre(own string) string {
	if s.scope == scopeDataCentre {
		return own
	}
	return ""
}
