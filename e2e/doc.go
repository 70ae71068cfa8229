// Package e2e contains the end-to-end tests, which run the real programs as separate processes.
package e2e
