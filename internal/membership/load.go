package membership

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"maps"
	"slices"
)

// errBadCells says that the cells of a load do not fit its names.
var errBadCells = errors.New("load with cells that do not fit its pools and teams")

// loadWire is a Load on the wire. A saturated fleet has running work in hundreds of pairs of pool and team, and repeating the
// team's name in each took 12 bytes a pair; cells take about 3.
type loadWire struct {
	Pools []string `json:"pools,omitempty"`
	Teams []string `json:"teams,omitempty"`
	// RunningCells and QueuedCells go through the pairs pool by pool. Each count above zero is two unsigned varints: the
	// number of pairs passed over since the last one, and the count.
	RunningCells []byte `json:"running_cells,omitempty"`
	QueuedCells  []byte `json:"queued_cells,omitempty"`
	// Running and Queued are the form with names, which is read as well.
	Running map[string]map[string]int `json:"running,omitempty"`
	Queued  map[string]map[string]int `json:"queued,omitempty"`
}

// MarshalJSON implements json.Marshaler. Counts of zero are left out.
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
	if w.RunningCells, err = packCells(w.Pools, w.Teams, l.Running); err != nil {
		return nil, err
	}
	if w.QueuedCells, err = packCells(w.Pools, w.Teams, l.Queued); err != nil {
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
	if err := unpackCells(&w, w.RunningCells, &l.Running); err != nil {
		return err
	}
	return unpackCells(&w, w.QueuedCells, &l.Queued)
}

func packCells(pools, teams []string, counts map[string]map[string]int) ([]byte, error) {
	var cells []byte
	passed := uint64(0)
	for _, pool := range pools {
		for _, team := range teams {
			n := counts[pool][team]
			if n == 0 {
				passed++
				continue
			}
			if n < 0 {
				return nil, errBadCells
			}
			cells = binary.AppendUvarint(cells, passed)
			cells = binary.AppendUvarint(cells, uint64(n))
			passed = 0
		}
	}
	return cells, nil
}

// unpackCells adds cells to counts. A peer's names and cells are not trusted: the number of pairs is bounded by the cells.
func unpackCells(w *loadWire, cells []byte, counts *map[string]map[string]int) error {
	pairs := uint64(len(w.Pools)) * uint64(len(w.Teams))
	for at := uint64(0); len(cells) > 0; at++ {
		passed, size := binary.Uvarint(cells)
		if size <= 0 || passed >= pairs-at {
			return errBadCells
		}
		cells = cells[size:]
		n, size := binary.Uvarint(cells)
		if size <= 0 || n == 0 || n > maxCellCount {
			return errBadCells
		}
		cells = cells[size:]
		at += passed
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
