// Package standin has small fakes of the platform: the log, the list of instances and workers. They speak HTTP over
// loopback and can be told to fail. Tests and development mode use them; a real deployment does not.
package standin
