// Package standin contains small fakes of the platform services: the log, the list of instances and the workers. They
// serve HTTP on the loopback interface and can inject faults. Tests and the development mode use them; real
// deployments do not.
package standin
