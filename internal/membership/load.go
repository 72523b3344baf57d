package membership

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"slices"
)

// errBadCells reports that the cells of a load do not match its pools and teams.
var errBadCells = errors.New("load with cells that do not fit its pools and teams")

// loadWire is the wire format of a Load. A saturated fleet has running work in hundreds of pairs of pool and team.
// Repeating the team's name in each pair takes 12 bytes per pair; cells take about 3.
type loadWire struct {
	Pools []string `json:"pools,omitempty"`
	Teams []string `json:"teams,omitempty"`
	// RunningCells and QueuedCells list the pairs ordered by pool, then team. Each count above zero is encoded as two
	// unsigned varints: the number of pairs skipped since the last one, and the count.
	RunningCells []byte `json:"running_cells,omitempty"`
	QueuedCells  []byte `json:"queued_cells,omitempty"`
	// Running and Queued are the format that names pools and teams. It is accepted but not written.
	Running map[string]map[string]int `json:"running,omitempty"`
	Queued  map[string]map[string]int `json:"queued,omitempty"`
}

// MarshalJSON implements json.Marshaler. Counts of zero are omitted.
func (l Load) MarshalJSON() ([]byte, error) {
	var w loadWire
	pools, teams := map[string]bool{}, map[string]bool{}
	for _, counts := range []map[string]map[string]int{l.Running, l.Queued} {
		for pool, byTeam := range counts {
			for team, n := range byTeam {
				if n != 0 {
					pools[pool], teams[team] = true, true
				}
			}
		}
	}
	w.Pools, w.Teams = slices.Sorted(maps.Keys(pools)), slices.Sorted(maps.Keys(teams))
	var err error
	if w.RunningCells, err = encodeCells(w.Pools, w.Teams, l.Running); err != nil {
		return nil, err
	}
	if w.QueuedCells, err = encodeCells(w.Pools, w.Teams, l.Queued); err != nil {
		return nil, err
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Load) UnmarshalJSON(data []byte) error {
	var w loadWire
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*l = Load{Running: w.Running, Queued: w.Queued}
	if err := decodeCells(&w, w.RunningCells, &l.Running); err != nil {
		return err
	}
	return decodeCells(&w, w.QueuedCells, &l.Queued)
}

// encodeCells encodes the counts of all pairs of pools and teams.
func encodeCells(pools, teams []string, counts map[string]map[string]int) ([]byte, error) {
	var cells []byte
	skipped := uint64(0)
	for _, pool := range pools {
		for _, team := range teams {
			n := counts[pool][team]
			if n == 0 {
				skipped++
				continue
			}
			if n < 0 {
				return nil, errBadCells
			}
			cells = binary.AppendUvarint(cells, skipped)
			cells = binary.AppendUvarint(cells, uint64(n))
			skipped = 0
		}
	}
	return cells, nil
}

// decodeCells adds the counts in cells to counts. Names and cells of a peer are not trusted, so the number of counts
// that are created is limited by the size of the cells.
func decodeCells(w *loadWire, cells []byte, counts *map[string]map[string]int) error {
	pairs := uint64(len(w.Pools)) * uint64(len(w.Teams))
	for at := uint64(0); len(cells) > 0; at++ {
		skipped, size := binary.Uvarint(cells)
		if size <= 0 || skipped >= pairs-at {
			return errBadCells
		}
		cells = cells[size:]
		n, size := binary.Uvarint(cells)
		if size <= 0 || n == 0 || n > maxCellCount {
			return errBadCells
		}
		cells = cells[size:]
		at += skipped
		pool, team := w.Pools[at/uint64(len(w.Teams))], w.Teams[at%uint64(len(w.Teams))]
		if *counts == nil {
			*counts = map[string]map[string]int{}
		}
		if (*counts)[pool] == nil {
			(*counts)[pool] = map[string]int{}
		}
		(*counts)[pool][team] = int(n)
	}
	return nil
}
