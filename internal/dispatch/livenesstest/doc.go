// Package livenesstest checks that accepted work of any shape is placed and ends. Its tests run a real dispatcher on a
// virtual clock, with small models of the store, the workers and the configuration that follow the limits of the
// platform's pages, and play random jobs, fleets and disruptions. The oracle knows nothing of the decisions: it asks of
// each task whose turn has come whether some worker may run it and has room.
package livenesstest
