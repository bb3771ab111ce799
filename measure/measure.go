// Package measure holds the experiments of the measure commands.
package measure
