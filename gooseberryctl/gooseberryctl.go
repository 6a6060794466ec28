// Package gooseberryctl is the operators' client.
package gooseberryctl
