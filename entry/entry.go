// Package entry faces callers, keeps requests and decides where they run.
package entry
