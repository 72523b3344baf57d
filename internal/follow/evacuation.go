package follow

import (
	"expvar"
	"maps"
	"slices"

	"pollenlead/internal/store"
)

// evacuatedZones is the number of evacuated availability zones that this process knows of.
var evacuatedZones = expvar.NewInt("evacuated_zones")

// zoneState is the newest known record of a zone's evacuation. A zone without a request keeps its state, so that an
// older record that is read later does not bring the request back.
type zoneState struct {
	requested bool
	// offset is that of the record, or of a later moment at which the store no longer had it.
	offset int64
}

// evacuations is the set of requested evacuations by zone.
type evacuations map[string]zoneState

// apply applies a record of a zone and reports whether the request changed.
func (e evacuations) apply(zone string, requested bool, offset int64) bool {
	known, ok := e[zone]
	if ok && offset <= known.offset {
		return false // a stale read of the store repeats older records
	}
	e[zone] = zoneState{requested, offset}
	return known.requested != requested
}

// sync takes back the requests that the newest records do not contain, and returns their zones. The records were read
// when the topic ended at the offset end; a read that ended before a request was appended does not refer to it.
func (e evacuations) sync(present map[string]bool, end int64) []string {
	var takenBack []string
	for zone, known := range e {
		if known.requested && !present[zone] && known.offset < end {
			e[zone] = zoneState{false, end - 1}
			takenBack = append(takenBack, zone)
		}
	}
	return takenBack
}

// requested returns the evacuated zones.
func (e evacuations) requested() map[string]bool {
	zones := map[string]bool{}
	for zone, known := range e {
		if known.requested {
			zones[zone] = true
		}
	}
	return zones
}

// Evacuating reports whether the operator has requested that nothing is started in the availability zone.
func (f *Follower) Evacuating(zone string) bool { return (*f.evacuated.Load())[zone] }

// EvacuatedZones returns the evacuated availability zones in the order of their names.
func (f *Follower) EvacuatedZones() []string { return slices.Sorted(maps.Keys(*f.evacuated.Load())) }

// applyEvacuation applies a request for an evacuation or its removal.
func (f *Follower) applyEvacuation(zone string, r store.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.evacuations.apply(zone, len(r.Value) > 0, r.Offset) {
		return
	}
	f.publishEvacuations()
	f.logEvacuation(zone, r.Offset)
}

// syncEvacuations takes back the evacuations whose removal was deleted from the history before it was read.
func (f *Follower) syncEvacuations(keys map[string]bool, end int64) {
	present := map[string]bool{}
	for key, hasValue := range keys {
		if zone, ok := f.evacuatedZone(key); ok {
			present[zone] = hasValue
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	takenBack := f.evacuations.sync(present, end)
	if len(takenBack) == 0 {
		return
	}
	f.publishEvacuations()
	for _, zone := range takenBack {
		f.logEvacuation(zone, end)
	}
}

// evacuatedZone returns the zone of a request for an evacuation.
func (f *Follower) evacuatedZone(key string) (string, bool) {
	if f.decoder.Evacuation == nil {
		return "", false
	}
	return f.decoder.Evacuation(key)
}

// publishEvacuations makes the present requests visible to readers. The caller holds mu.
func (f *Follower) publishEvacuations() {
	zones := f.evacuations.requested()
	f.evacuated.Store(&zones)
	evacuatedZones.Set(int64(len(zones)))
	f.notify()
}

// logEvacuation logs a change of a zone's evacuation. The caller holds mu.
func (f *Follower) logEvacuation(zone string, offset int64) {
	f.log.Info().Str("event", "evacuation").Str("zone", zone).Bool("requested", f.evacuations[zone].requested).
		Int64("offset", offset).Msg("evacuation of an availability zone changed")
}
