package standin

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a change that is visible before its lag is over, and a version that goes back when the lag grows.
func TestListLag(t *testing.T) {
	is := is.New(t)
	list := NewList()
	url := serve(t, list)
	list.Set(Instance{ID: "w-1", Kind: KindWorker, Phase: PhaseLive})
	var answer ListAnswer
	is.Equal(call(t, "GET", url+"/instances", nil, &answer), http.StatusOK)
	is.Equal(answer.Version, uint64(1))

	const hourMS = 3600 * 1000
	is.Equal(call(t, "PUT", url+"/faults", ListFaults{LagMS: hourMS}, nil), http.StatusNoContent)
	list.Set(Instance{ID: "w-1", Kind: KindWorker, Phase: PhaseLeaving})
	list.Set(Instance{ID: "e-1", Kind: KindEntry, Phase: PhaseLive})
	call(t, "GET", url+"/instances", nil, &answer)
	is.Equal(answer.Version, uint64(1))
	is.Equal(answer.Instances, []Instance{{ID: "w-1", Kind: KindWorker, Phase: PhaseLive}})

	list.SetFaults(ListFaults{})
	list.Remove("w-1")
	call(t, "GET", url+"/instances", nil, &answer)
	is.Equal(answer.Version, uint64(4))
	is.Equal(answer.Instances, []Instance{{ID: "e-1", Kind: KindEntry, Phase: PhaseLive}})

	list.SetFaults(ListFaults{Outage: true})
	is.Equal(call(t, "GET", url+"/instances", nil, nil), http.StatusServiceUnavailable)
}
