// Command pollenctl is the tool of operators and callers.
package main

func main() {}
