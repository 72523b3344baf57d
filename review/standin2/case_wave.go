package main

import (
	"encoding/json"
	"fmt"
	"time"

	"pollenlead/platform"
	"pollenlead/platform/platformtest"
)

const (
	// allMachines is the number of machines, waveMachines that of each wave, and waveInterval the time between two waves.
	allMachines  = 25
	waveMachines = 12
	waveInterval = 26 * time.Second
	// outageInterval is the time from the begin of one outage of the store to that of the next.
	outageInterval = 9 * time.Second
	outages        = 10
)

// caseWave lets waves run in which one machine may be down at once, and takes the store down now and then.
func caseWave(w *world, trouble bool) error {
	w.cloud.onUpkeep = func(m *machine, wave int64, down []string, fence int64, holder string) {
		if len(down) > 0 {
			w.violate("LIMIT: the upkeep of %s for wave %d begins by order of %s (fence %d) while %v is down for it; max_count is 1",
				m.id, wave, holder, fence, down)
		}
	}
	var machines []string
	for n := range allMachines {
		id := fmt.Sprintf("m%d", n+1)
		if n < waveMachines {
			machines = append(machines, id)
		}
		if _, err := w.addMachine(id, "books", 8000); err != nil {
			return err
		}
	}
	c := newConfiguration(3)
	c.service("books", false)
	c.route("r-books", "/books/", "books", nil)
	c.tenant("shop", keyShop, 0)
	w.publish(c)
	if err := w.startEntries(6); err != nil {
		return err
	}
	if _, err := w.awaitLeader(nil); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	for n, wave := 0, 0; n < outages; n++ {
		if time.Since(began) >= time.Duration(wave)*waveInterval {
			wave++
			if err := w.requestWave(wave, machines); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(time.Duration(n)*outageInterval + outageInterval - storeDown)))
		if trouble {
			w.note("the store is down")
			w.cluster.Store.SetFaults(platformtest.StoreFaults{Unresponsive: true})
		}
		time.Sleep(storeDown)
		if trouble {
			w.cluster.Store.SetFaults(platformtest.StoreFaults{})
			w.note("the store is back")
		}
		if len(w.violations()) > 0 {
			break
		}
	}
	time.Sleep(time.Second)
	return nil
}

// requestWave writes the operator's request for a wave.
func (w *world) requestWave(number int, machines []string) error {
	text, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "finish_by_s": 26, "max_count": 1})
	if err != nil {
		return err
	}
	w.cluster.Store.Put(platform.TopicOperator, fmt.Sprintf("wave/%d", number), text)
	w.note("operator: wave %d of %d machines, max_count 1", number, len(machines))
	return nil
}
