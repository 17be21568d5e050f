package hub

import "azurelane/core/wire"

// scope is for whom a replica schedules.
//
// The leader schedules for all entries that reach it. Those of a data centre that is
// cut off don't, and no leader is elected there. Each by itself they know little: in
// the first half second they wait for upstreams on the other side, an account is held
// to the share of a single entry, which is less than one large request where there
// are hundreds, and many place requests at the same engine. So a replica that is cut
// off with them schedules the upstreams of its own data centre for them, within the
// parts of the rates that the leader leaves to entries it has missed. It only places
// requests; what needs the log it refuses as any replica without a quorum.
type scope int

const (
	nowhere scope = iota
	centre
	deployment
)

// scope is for whom this replica should schedule now.
func (h *Hub) scope() scope {
	if h.Replica.Leads() {
		return deployment
	}
	if v, _ := h.Replica.Publication(); v > 0 && h.Replica.CutOff() {
		return centre
	}
	return nowhere
}

func (s scope) begins() string {
	if s == centre {
		return "Schedules its data centre, which is cut off."
	}
	return "Leadership gained."
}

func (s scope) ends() string {
	if s == centre {
		return "No longer schedules its data centre."
	}
	return "Leadership lost."
}

// serves reports whether a scheduler is there for an entry. One of a data centre is for
// entries that reach no replica elsewhere: when only the way between replicas is cut,
// entries that stayed with a former leader would hear of no configuration accepted
// since, and serve callers by routes and keys that are no longer in force.
func (h *Hub) serves(r *reign, w *wire.Watch) bool {
	return r.scope == deployment || (w.GetAlone() && w.GetDataCentre() == h.DataCentre)
}

// dataCentre is the one for which a scheduler works, empty for all.
func (r *reign) dataCentre(own string) string {
	if r.scope == centre {
		return own
	}
	return ""
}
