// Command gooseberryctl is built from package gooseberryctl.
package main

func main() {}
