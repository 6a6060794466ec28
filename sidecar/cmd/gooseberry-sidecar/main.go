// Command gooseberry-sidecar is built from package sidecar.
package main

func main() {}
