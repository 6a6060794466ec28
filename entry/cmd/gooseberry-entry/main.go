// Command gooseberry-entry is built from package entry.
package main

func main() {}
