package ingress

import "expvar"

// counters holds the metrics of this package, over all servers of the process.
var counters = newIngressCounters()

type ingressCounters struct {
	connections, reservedBytes                 expvar.Int // at present
	shedForMemory, shedForConnections, refused expvar.Int
	refusedRequests                            expvar.Int // for want of memory
}

func newIngressCounters() *ingressCounters {
	c := &ingressCounters{}
	m := expvar.NewMap("ingress")
	m.Set("connections", &c.connections)
	m.Set("reserved_bytes", &c.reservedBytes)
	m.Set("shed_for_memory_total", &c.shedForMemory)
	m.Set("shed_for_connections_total", &c.shedForConnections)
	m.Set("refused_connections_total", &c.refused)
	m.Set("refused_requests_total", &c.refusedRequests)
	return c
}
