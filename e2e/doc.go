// Package e2e holds the test that runs the real programs as separate processes.
package e2e
