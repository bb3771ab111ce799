// Package measure implements the experiments of the measure commands. Experiments in virtual time are seeded: equal seeds give equal
// results.
package measure
